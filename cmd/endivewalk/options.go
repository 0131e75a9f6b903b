package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/httpapi"
	"github.com/endivewalk/endivewalk/pkg/operator"
)

// options are the flags that all operators' commands share.
type options struct {
	sources []string // Operator addresses of the source's replicas.
	token   string
	json    bool // Print JSON instead of text.
}

// envList returns the elements of a comma-separated environment variable, or nil
// if it is not set.
func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// client returns a client of the source, or an error if no address is known.
func (o *options) client() (*operator.Client, error) {
	if len(o.sources) == 0 {
		return nil, withExitCode(exitUsage, errs.New("no source is known: set --sources or ENDIVEWALK_SOURCES"))
	}
	return &operator.Client{Sources: o.sources, Token: o.token}, nil
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table prints aligned columns. It calls write once, which calls row for each
// row.
func table(w io.Writer, write func(row func(cells ...any))) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	write(func(cells ...any) {
		for i, c := range cells {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, c)
		}
		fmt.Fprintln(t)
	})
	t.Flush()
}

// requestIDBytes is the number of random bytes in a request ID.
const requestIDBytes = 8

// newRequestID returns a random request ID, which is not in use yet.
func newRequestID() string {
	b := make([]byte, requestIDBytes)
	rand.Read(b)
	return "r-" + hex.EncodeToString(b)
}

// report prints the outcome of a change or move. If the outcome is not accepted,
// it returns an error for the exit code, without a message.
func report(cmd *cobra.Command, o *options, out operator.Outcome) error {
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), out); err != nil {
			return err
		}
	} else {
		printOutcome(cmd.OutOrStdout(), out)
	}
	if out.Status != operator.Accepted {
		return withExitCode(exitRejected, errAlreadyPrinted)
	}
	return nil
}

func printOutcome(w io.Writer, out operator.Outcome) {
	resentNote := ""
	if out.Resent {
		resentNote = ", as answered before"
	}
	switch out.Status {
	case operator.Accepted:
		fmt.Fprintf(w, "accepted as revision %d (request %s%s)\n", out.Revision, out.Request, resentNote)
	default:
		fmt.Fprintf(w, "%s%s: %s\n", out.Status, resentNote, out.Reason)
		fmt.Fprintf(w, "nothing changed; the newest revision is %d (request %s)\n", out.Revision, out.Request)
	}
}

// newToken returns the command that generates an operator's token and its hash
// for the source's settings.
func newToken(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "token",
		Short: "Make an operator's token and the hash that goes into the source's settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := make([]byte, 24)
			rand.Read(b)
			token := hex.EncodeToString(b)
			generated := struct {
				Token  string `json:"token"`
				SHA256 string `json:"sha256"`
			}{token, httpapi.HashToken(token)}
			if o.json {
				return printJSON(cmd.OutOrStdout(), generated)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "token   %s\nsha256  %s\n", generated.Token, generated.SHA256)
			return nil
		},
	}
}
