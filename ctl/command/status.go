package command

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"
)

const usageStatus = `Show what one gateway knows: its zone's leader, its members, the versions in
force, and whether the table service answers.

Examples:
  basilcross status
  basilcross status --server http://10.0.1.1:8082 --output json`

// gatewayStatus is the part of a gateway's status that is shown.
type gatewayStatus struct {
	Instance string            `json:"instance"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Versions map[string]uint64 `json:"versions"`
	Leader   struct {
		Leading bool `json:"leading"`
		TableOK bool `json:"tableOk"`
		Record  struct {
			Holder string `json:"holder"`
			Term   uint64 `json:"term"`
		} `json:"record"`
		Members []struct {
			Instance string
			Address  string
			Versions map[string]uint64
		} `json:"members"`
	} `json:"leader"`
}

func statusCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show a gateway's view of the fleet", Long: usageStatus, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var st gatewayStatus
			if err := s.client.Get(c.Context(), "/v1/status", nil, &st); err != nil {
				return withExitCode(err)
			}
			return s.print(c.OutOrStdout(), st, func(w io.Writer) { printStatus(w, st) })
		},
	}
}

func printStatus(w io.Writer, st gatewayStatus) {
	fmt.Fprintf(w, "instance\t%s\n", st.Instance)
	fmt.Fprintf(w, "zone\t%s\n", st.Zone)
	fmt.Fprintf(w, "ready\t%v\n", st.Ready)
	fmt.Fprintf(w, "table service\t%s\n", boolText(st.Leader.TableOK, "answers", "does not answer"))
	fmt.Fprintf(w, "leads its zone\t%v\n", st.Leader.Leading)
	if st.Leader.Record.Holder != "" {
		fmt.Fprintf(w, "seat last seen\t%s, term %d\n", st.Leader.Record.Holder, st.Leader.Record.Term)
	}
	for _, name := range sortedKeys(st.Versions) {
		fmt.Fprintf(w, "in force\t%s version %d\n", name, st.Versions[name])
	}
	for _, m := range st.Leader.Members {
		fmt.Fprintf(w, "member\t%s at %s, configuration %d\n", m.Instance, m.Address, m.Versions["$config"])
	}
}

func boolText(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
