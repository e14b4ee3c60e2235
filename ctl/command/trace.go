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

const usageTrace = `Show the log lines of one request from the logs of several instances, in the
order of their timestamps.

The files contain JSON lines as the gateways write them. Text before the first
brace of a line and lines without valid JSON are skipped. "-" is the standard input.

Examples:
  basilcross trace 5b6fa1dfce395ba1 gw-graz-1.log gw-graz-2.log
  zcat *.log.gz | basilcross trace 5b6fa1dfce395ba1 - --output json`

// maxLogLine limits the length of a log line, in bytes.
const maxLogLine = 1 << 20

// traceLine is a log line with the ID of the traced request.
type traceLine struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Event     int       `json:"event"`
	EventName string    `json:"msg"`
	// Fields are the remaining fields of the line.
	Fields map[string]any `json:"fields"`
}

func traceCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "trace REQUEST-ID FILE...", Short: "Show the log lines of one request", Long: usageTrace, Args: cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []traceLine
			for _, name := range args[1:] {
				got, err := readTraceFile(c.InOrStdin(), name, args[0])
				if err != nil {
					return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("read log file %q: %w", name, err)}
				}
				lines = append(lines, got...)
			}
			if len(lines) == 0 {
				return &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("no line with request ID %q in the log files %v", args[0], args[1:])}
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
	f, err := os.Open(name) //nolint:gosec // named by the operator
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
			// Another program's line, or a truncated one.
			continue
		}
		if l.Fields["request"] != id {
			continue
		}
		for _, name := range []string{"time", "level", "instance", "event", "msg", "request"} {
			delete(l.Fields, name)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

func printTrace(w io.Writer, lines []traceLine) {
	start := lines[0].Time
	for _, l := range lines {
		fmt.Fprintf(w, "+%dms  %s  %d %s", l.Time.Sub(start).Milliseconds(), l.Instance, l.Event, l.EventName)
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
