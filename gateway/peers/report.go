package peers

import "github.com/fxamacker/cbor/v2"

// baseReport is a Report without the fields that are encoded only if they are set.
type baseReport struct {
	_ struct{} `cbor:",toarray"`

	Loads       []KeyLoad
	Latencies   []TargetLatency
	Thin        bool
	Members     int
	Quarantined []Quarantined
}

// speedReport is a Report with Speeds.
type speedReport struct {
	_ struct{} `cbor:",toarray"`

	Loads       []KeyLoad
	Latencies   []TargetLatency
	Thin        bool
	Members     int
	Quarantined []Quarantined
	Speeds      []TargetSpeed
}

// MarshalCBOR encodes the report. Versions before Speeds read it unless it has some.
func (r *Report) MarshalCBOR() ([]byte, error) {
	if len(r.Speeds) == 0 {
		return cbor.Marshal(&baseReport{Loads: r.Loads, Latencies: r.Latencies, Thin: r.Thin, Members: r.Members, Quarantined: r.Quarantined})
	}
	return cbor.Marshal(&speedReport{Loads: r.Loads, Latencies: r.Latencies, Thin: r.Thin, Members: r.Members, Quarantined: r.Quarantined, Speeds: r.Speeds})
}

// arrayOfFive is the first byte of an encoded array with the number of elements of baseReport.
const arrayOfFive = 0x85

// UnmarshalCBOR decodes a report with or without Speeds.
func (r *Report) UnmarshalCBOR(data []byte) error {
	if len(data) > 0 && data[0] == arrayOfFive {
		base := baseReport{}
		err := cbor.Unmarshal(data, &base)
		*r = Report{Loads: base.Loads, Latencies: base.Latencies, Thin: base.Thin, Members: base.Members, Quarantined: base.Quarantined}
		return err
	}
	with := speedReport{}
	err := cbor.Unmarshal(data, &with)
	*r = Report{Loads: with.Loads, Latencies: with.Latencies, Thin: with.Thin, Members: with.Members, Quarantined: with.Quarantined, Speeds: with.Speeds}
	return err
}
