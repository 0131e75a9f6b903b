package source

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/internal/quorum"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Replacement is a request to replace the full configuration by another one.
type Replacement struct {
	Request  string // Request ID; a resent request with the same ID gets the first outcome.
	Operator string
	Base     uint64 // Version of the configuration that is replaced; 0 for the first.
	Config   config.Config
	Origin   []byte // The configuration as the operator wrote it, for ReadConfig.
}

// Replace proposes a replacement and returns its outcome. It must be called on
// the leader; on other replicas the error matches ErrNoLeader, and LeaderMember
// returns the replica to call. The error matches config.ErrInvalidConfig if
// r.Config is invalid or unsupported, and ErrNotEnforced if a live daemon does not carry
// it out. A resent request that was accepted before gets its outcome in spite of the
// latter two.
func (n *Node) Replace(r Replacement) (ledger.Outcome, error) {
	if err := r.Config.Check(); err != nil {
		return ledger.Outcome{}, err
	}
	objects, err := r.Config.Objects()
	if err != nil {
		return ledger.Outcome{}, err
	}
	origin, err := compress(r.Origin)
	if err != nil {
		return ledger.Outcome{}, err
	}
	command := ledger.Command{
		Request: r.Request, Operator: r.Operator,
		Replace: &ledger.Replace{Base: r.Base, Version: r.Config.Version, Origin: origin},
	}
	return n.submitProposal(proposal{
		command: command, objects: objects, requires: r.Config.Requires(), unsupported: r.Config.CheckSupported(),
	})
}

// Decided returns the outcome of an earlier request, and false if there was none. It is for
// requests whose configuration this build rejects but an older one may have accepted. The
// error is ErrNoLeader if this replica does not lead or does not apply its log in time.
func (n *Node) Decided(request string) (ledger.Outcome, bool, error) {
	type decision struct {
		outcome ledger.Outcome
		found   bool
		leads   bool
		applied quorum.Index
		last    quorum.Index // Of the log.
	}
	var wanted quorum.Index // The last entry of the log at the first look.
	for start := n.config.Clock(); ; {
		d, ok := inspect(n, func(c *consensus) decision {
			outcome, found := c.state.Outcome(request)
			return decision{
				outcome: outcome, found: found, leads: c.core.Role() == quorum.RoleLeader, applied: c.core.Applied(), last: c.core.Last(),
			}
		})
		if wanted == 0 {
			wanted = d.last
		}
		switch {
		case !ok:
			return ledger.Outcome{}, false, ErrBusy
		case d.found || d.leads && d.applied >= wanted:
			return d.outcome, d.found, nil
		case n.config.Clock().Sub(start) > configCatchUpTimeout || !n.pause(configPollInterval):
			return ledger.Outcome{}, false, ErrNoLeader
		}
	}
}

// planReplacement fills in the objects that a replacement changes, compared with
// the newest applied state. It does nothing for other commands.
func (c *consensus) planReplacement(p *proposal) {
	if p.command.Replace == nil {
		return
	}
	replace := *p.command.Replace
	c.state.Plan(&replace, p.objects)
	p.command.Replace = &replace
}

// compress compresses the origin of a configuration for the log and the disk.
func compress(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, errs.New("source: compress the origin of a configuration: %v", err)
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errs.New("source: compress the origin of a configuration: %v", err)
	}
	return buffer.Bytes(), nil
}

// decompress reverses compress. It returns nil for nil.
func decompress(compressed []byte) ([]byte, error) {
	if compressed == nil {
		return nil, nil
	}
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(compressed)))
	if err != nil {
		return nil, errs.New("source: decompress the origin of a configuration: %v", err)
	}
	return data, nil
}

// LeaderMember returns the replica that this one regards as the leader. It
// returns false if none is known.
func (n *Node) LeaderMember() (Member, bool) {
	name := n.Leader()
	if name == n.config.Name {
		return Member{Name: name, Address: n.config.Address}, true
	}
	if l := n.links.get(name); l != nil {
		return Member{Name: name, Address: l.address}, true
	}
	return Member{}, false
}

// ConfigDocument is the full configuration as its operator wrote it.
type ConfigDocument struct {
	Version uint64 // 0 if none has been accepted yet.
	Origin  []byte // Nil if none has been accepted yet.
}

const (
	configPollInterval = 10 * time.Millisecond
	// configCatchUpTimeout limits how long ReadConfig waits for this replica to
	// apply the revision that the leader confirmed.
	configCatchUpTimeout = 700 * time.Millisecond
)

// ReadConfig returns the newest full configuration, which a quorum confirms after
// the call began. The error is ErrNoLeader if it cannot be confirmed, or if this
// replica lags too far behind. It may be called on any replica.
func (n *Node) ReadConfig() (ConfigDocument, error) {
	latest, err := n.Latest()
	if err != nil {
		return ConfigDocument{}, ErrNoLeader
	}
	for start := n.config.Clock(); ; {
		document, _ := inspect(n, func(c *consensus) *ConfigDocument {
			if c.state.Revision() < latest {
				return nil
			}
			return &ConfigDocument{Version: c.state.Version(), Origin: c.state.Origin()}
		})
		if document != nil {
			document.Origin, err = decompress(document.Origin)
			return *document, err
		}
		if n.config.Clock().Sub(start) > configCatchUpTimeout || !n.pause(configPollInterval) {
			return ConfigDocument{}, ErrNoLeader
		}
	}
}
