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

// options are those that all operators' commands share.
type options struct {
	sources []string
	token   string
	json    bool
}

func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// client returns a client of the source.
func (o *options) client() (*operator.Client, error) {
	if len(o.sources) == 0 {
		return nil, coded(exitUsage, errs.New("no source is known: set --sources or ENDIVEWALK_SOURCES"))
	}
	return &operator.Client{Sources: o.sources, Token: o.token}, nil
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// table prints aligned columns.
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

const requestBytes = 8

// newRequest returns a request id that no one has used.
func newRequest() string {
	b := make([]byte, requestBytes)
	rand.Read(b)
	return "r-" + hex.EncodeToString(b)
}

// report prints the outcome of a change or move and returns the exit code's
// error.
func report(cmd *cobra.Command, o *options, out operator.Outcome) error {
	if o.json {
		if err := printJSON(cmd.OutOrStdout(), out); err != nil {
			return err
		}
	} else {
		printOutcome(cmd.OutOrStdout(), out)
	}
	if out.Status != operator.Accepted {
		return coded(exitRefused, errSilent)
	}
	return nil
}

func printOutcome(w io.Writer, out operator.Outcome) {
	again := ""
	if out.Resent {
		again = ", as answered before"
	}
	switch out.Status {
	case operator.Accepted:
		fmt.Fprintf(w, "accepted as revision %d (request %s%s)\n", out.Revision, out.Request, again)
	default:
		fmt.Fprintf(w, "%s%s: %s\n", out.Status, again, out.Reason)
		fmt.Fprintf(w, "nothing changed; the newest revision is %d (request %s)\n", out.Revision, out.Request)
	}
}

// newToken makes a token and the hash of it for the settings.
func newToken(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "token",
		Short: "Make an operator's token and the hash that goes into the source's settings",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := make([]byte, 24)
			rand.Read(b)
			token := hex.EncodeToString(b)
			made := struct {
				Token  string `json:"token"`
				SHA256 string `json:"sha256"`
			}{token, httpapi.HashToken(token)}
			if o.json {
				return printJSON(cmd.OutOrStdout(), made)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "token   %s\nsha256  %s\n", made.Token, made.SHA256)
			return nil
		},
	}
}
