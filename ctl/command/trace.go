package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const usageTrace = `Tell one request's story from the logs of several instances.

The files have JSON lines as the gateways write them; text in front of a line's
first brace is passed over, and so are lines that are none. "-" is the standard
input. The story is in the order of the lines' times.

Examples:
  basilcross trace 5b6fa1dfce395ba1 gw-graz-1.log gw-graz-2.log
  zcat *.log.gz | basilcross trace 5b6fa1dfce395ba1 - --output json`

// maxLogLine bounds a line of a log.
const maxLogLine = 1 << 20

// traceLine is a log line about a request.
type traceLine struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Event     int       `json:"event"`
	EventName string    `json:"msg"`
	// Fields are the others, as they were written.
	Fields map[string]any `json:"fields"`
}

func traceCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "trace REQUEST-ID FILE...", Short: "Tell one request's story from logs", Long: usageTrace, Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []traceLine
			for _, name := range args[1:] {
				got, err := readTraceFile(c.InOrStdin(), name, args[0])
				if err != nil {
					return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("trace %s: %w", name, err)}
				}
				lines = append(lines, got...)
			}
			if len(lines) == 0 {
				return &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("no line has the request %s", args[0])}
			}
			sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
			if s.output == "json" {
				return json.NewEncoder(c.OutOrStdout()).Encode(lines)
			}
			printTrace(c.OutOrStdout(), lines)
			return nil
		},
	}
}

func readTraceFile(stdin io.Reader, name, id string) ([]traceLine, error) {
	if name == "-" {
		return readTrace(stdin, id)
	}
	f, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return readTrace(f, id)
}

func readTrace(r io.Reader, id string) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		brace := strings.IndexByte(text, '{')
		if brace < 0 || !strings.Contains(text, id) {
			continue
		}
		var l traceLine
		if json.Unmarshal([]byte(text[brace:]), &l) != nil || json.Unmarshal([]byte(text[brace:]), &l.Fields) != nil {
			// Another program's line, or one cut off.
			continue
		}
		if l.Fields["request"] != id {
			continue
		}
		for _, known := range []string{"time", "level", "instance", "event", "msg", "request"} {
			delete(l.Fields, known)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

func printTrace(w io.Writer, lines []traceLine) {
	began := lines[0].Time
	for _, l := range lines {
		fmt.Fprintf(w, "+%dms  %s  %d %s", l.Time.Sub(began).Milliseconds(), l.Instance, l.Event, l.EventName)
		names := make([]string, 0, len(l.Fields))
		for name, value := range l.Fields {
			if value != nil && value != "" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(w, " %s=%v", name, l.Fields[name])
		}
		fmt.Fprintln(w)
	}
}
