package command

import (
	"basilcross.example/basilcross/config"
	"github.com/spf13/cobra"
)

const usageDrain = `Take a target out of use: its shards move to other targets, it gets no new
requests, and its running requests complete. A drain is stored as an exception
with a reason.

Examples:
  basilcross drain menus-graz-1 --reason "its disk is being replaced"
  basilcross undrain menus-graz-1 --reason "the disk was replaced"`

func drainExceptionID(target string) string { return "drain-" + target }

func drainCommand(s *session) *cobra.Command {
	var reason, author string
	c := &cobra.Command{
		Use: "drain TARGET", Short: "Take a target out of use", Long: usageDrain, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return s.updateDocument(c, author, reason, func(d *config.Document) error {
				d.Exceptions = append(d.Exceptions, config.Exception{
					ID: drainExceptionID(args[0]), Scope: config.Scope{Target: args[0]},
					Set: config.Rules{Drain: config.Ptr(true)}, Reason: reason, Author: author,
				})
				return nil
			})
		},
	}
	addReasonFlags(c, &reason, &author)
	return c
}

func undrainCommand(s *session) *cobra.Command {
	var reason, author string
	c := &cobra.Command{
		Use: "undrain TARGET", Short: "Put a drained target back into use", Long: usageDrain, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return s.updateDocument(c, author, reason, func(d *config.Document) error { return removeException(d, drainExceptionID(args[0])) })
		},
	}
	addReasonFlags(c, &reason, &author)
	return c
}
