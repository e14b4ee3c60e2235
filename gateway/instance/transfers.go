package instance

import (
	"log/slog"
	"net/http"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/transfer"
	"github.com/prometheus/client_golang/prometheus"
)

// transfers counts the responses of the store and of other instances, and logs those that
// break off.
type transfers struct {
	log   *slog.Logger
	ended *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

func newTransfers(r prometheus.Registerer, log *slog.Logger) *transfers {
	t := &transfers{
		log: log,
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilcross_transfers_total", Help: "Responses of the store and of other instances, by how they ended.",
		}, []string{"from", "outcome"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilcross_transfer_bytes_total", Help: "Bytes of responses of the store and of other instances.",
		}, []string{"from"}),
	}
	r.MustRegister(t.ended, t.bytes)
	return t
}

// observe counts the responses that a client receives.
func (t *transfers) observe(from string, client *http.Client) *http.Client {
	client.Transport = &transfer.Transport{Base: client.Transport, OnEnd: func(e transfer.End) {
		t.bytes.WithLabelValues(from).Add(float64(e.Bytes))
		if e.Err == nil {
			t.ended.WithLabelValues(from, "complete").Inc()
			return
		}
		t.ended.WithLabelValues(from, "broken").Inc()
		event.TransferBroken.Log(t.log, "address", e.Address, "path", e.Path, "receivedBytes", e.Bytes,
			"tookMs", e.Duration.Milliseconds(), "error", e.Err)
	}}
	return client
}
