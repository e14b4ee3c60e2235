// Command basilcross is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"basilcross.example/ctl/command"
)

func main() {
	err := command.New().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "basilcross:", err)
	var exit *command.ExitError
	if errors.As(err, &exit) {
		os.Exit(exit.Code)
	}
	os.Exit(command.ExitUsage)
}
