package source

import (
	"time"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Replacement asks for a whole configuration to be put in the place of
// another.
type Replacement struct {
	Request  string // Makes the replacement idempotent.
	Operator string
	Base     uint64 // The version that it builds on; 0 for the first.
	Whole    config.Whole
	Origin   []byte // The configuration as the operator wrote it.
}

// Replace has a replacement decided. It must be called on the leader; on other
// replicas the error matches ErrNoLeader, and Leading tells where to go. The
// configuration must have passed its Check.
func (n *Node) Replace(r Replacement) (ledger.Outcome, error) {
	objects, err := r.Whole.Objects()
	if err != nil {
		return ledger.Outcome{}, err
	}
	command := ledger.Command{
		Request: r.Request, Operator: r.Operator,
		Replace: &ledger.Replace{Base: r.Base, Version: r.Whole.Version, Origin: r.Origin},
	}
	return n.decideHere(proposal{command: command, objects: objects})
}

// plan computes what a replacement changes, by the newest state applied.
func (a *agreement) plan(p *proposal) {
	if p.command.Replace == nil {
		return
	}
	replace := *p.command.Replace
	a.state.Plan(&replace, p.objects)
	p.command.Replace = &replace
}

// Leading returns the replica that leads, and whether one is known.
func (n *Node) Leading() (Member, bool) {
	name := n.Leader()
	if name == n.config.Name {
		return Member{Name: name, Address: n.config.Address}, true
	}
	if one := n.links.get(name); one != nil {
		return Member{Name: name, Address: one.address}, true
	}
	return Member{}, false
}

// Whole is a whole configuration read back.
type Whole struct {
	Version uint64
	Origin  []byte // Nil if none has been accepted yet.
}

const (
	readPause = 10 * time.Millisecond
	readWait  = 700 * time.Millisecond
)

// ReadWhole returns the newest whole configuration, as confirmed by a quorum
// after the call began. The error is ErrNoLeader if that can't be had.
func (n *Node) ReadWhole() (Whole, error) {
	latest, err := n.Latest()
	if err != nil {
		return Whole{}, ErrNoLeader
	}
	for began := n.config.Clock(); ; {
		var read Whole
		reached := false
		n.look(func(a *agreement) {
			reached = a.state.Revision() >= latest
			read = Whole{Version: a.state.Version(), Origin: a.state.Origin()}
		})
		if reached {
			return read, nil
		}
		if n.config.Clock().Sub(began) > readWait || !n.pause(readPause) {
			return Whole{}, ErrNoLeader
		}
	}
}
