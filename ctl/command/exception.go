package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"basilcross.example/basilcross/config"
	"github.com/spf13/cobra"
)

const usageException = `List, add and remove exceptions. Each names its scope, the fields that it
changes, and a written reason.

Examples:
  basilcross exception list
  basilcross exception add slow-bakery --service menus --key graz-7 \
      --set '{"deadline":"3s"}' --reason "the bakery's line is slow until March"
  basilcross exception remove slow-bakery --reason "the line was repaired"`

func exceptionCommand(s *session) *cobra.Command {
	c := &cobra.Command{Use: "exception", Short: "List, add and remove exceptions", Long: usageException}
	c.AddCommand(exceptionListCommand(s), exceptionAddCommand(s), exceptionRemoveCommand(s))
	return c
}

func exceptionListCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the exceptions", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := s.fetchDocument(c.Context(), 0)
			if err != nil {
				return err
			}
			return s.print(c.OutOrStdout(), doc.Exceptions, func(w io.Writer) { printExceptions(w, doc.Exceptions) })
		},
	}
}

func printExceptions(w io.Writer, exceptions []config.Exception) {
	fmt.Fprintln(w, "ID\tSCOPE\tSETS\tUNTIL\tAUTHOR\tREASON")
	for _, e := range exceptions {
		until := "-"
		if e.Expires != nil {
			until = e.Expires.Format(time.RFC3339)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", e.ID, compactJSON(e.Scope), compactJSON(e.Set), until, e.Author, e.Reason)
	}
}

func compactJSON(v any) string {
	content, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// updateDocument edits the newest document and submits it as the next version.
func (s *session) updateDocument(c *cobra.Command, author, reason string, edit func(*config.Document) error) error {
	doc, err := s.fetchDocument(c.Context(), 0)
	if err != nil {
		return err
	}
	doc.Author, doc.Reason = author, reason
	if err := edit(doc); err != nil {
		return err
	}
	if err := doc.Validate(); err != nil {
		return &ExitError{Code: ExitInvalid, Cause: err}
	}
	return s.submit(c.Context(), c.OutOrStdout(), doc.Version, doc)
}

func exceptionAddCommand(s *session) *cobra.Command {
	var e config.Exception
	var set string
	var lasts time.Duration
	c := &cobra.Command{
		Use: "add ID", Short: "Add an exception", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e.ID = args[0]
			if err := json.Unmarshal([]byte(set), &e.Set); err != nil {
				return &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("--set: %w", err)}
			}
			if lasts > 0 {
				e.Expires = config.Ptr(time.Now().Add(lasts).UTC().Truncate(time.Second))
			}
			return s.updateDocument(c, e.Author, e.Reason, func(d *config.Document) error {
				d.Exceptions = append(d.Exceptions, e)
				return nil
			})
		},
	}
	addScopeFlags(c, &e.Scope)
	addReasonFlags(c, &e.Reason, &e.Author)
	c.Flags().StringVar(&set, "set", "", "the fields that it changes, as JSON")
	c.Flags().DurationVar(&lasts, "lasts", 0, "time after which it ends by itself; 0 is never")
	_ = c.MarkFlagRequired("set")
	return c
}

func exceptionRemoveCommand(s *session) *cobra.Command {
	var reason, author string
	c := &cobra.Command{
		Use: "remove ID", Short: "Remove an exception", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return s.updateDocument(c, author, reason, func(d *config.Document) error { return removeException(d, args[0]) })
		},
	}
	addReasonFlags(c, &reason, &author)
	return c
}

func removeException(d *config.Document, id string) error {
	i := slices.IndexFunc(d.Exceptions, func(e config.Exception) bool { return e.ID == id })
	if i < 0 {
		return &ExitError{Code: ExitNotFound, Cause: errExceptionNotFound}
	}
	d.Exceptions = slices.Delete(d.Exceptions, i, i+1)
	return nil
}
