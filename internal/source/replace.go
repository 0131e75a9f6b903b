package source

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/endivewalk/endivewalk/internal/ledger"
	"github.com/endivewalk/endivewalk/pkg/config"
)

// Replacement asks for a whole configuration to be put in the place of
// another.
type Replacement struct {
	Request  string // Makes the replacement idempotent.
	Operator string
	Base     uint64 // The version that it builds on; 0 for the first.
	Config   config.Config
	Origin   []byte // The configuration as the operator wrote it.
}

// Replace has a replacement decided. It must be called on the leader; on other
// replicas the error matches ErrNoLeader, and LeaderMember tells where to go. The
// configuration must have passed its Check.
func (n *Node) Replace(r Replacement) (ledger.Outcome, error) {
	objects, err := r.Config.Objects()
	if err != nil {
		return ledger.Outcome{}, err
	}
	origin, err := pack(r.Origin)
	if err != nil {
		return ledger.Outcome{}, err
	}
	command := ledger.Command{
		Request: r.Request, Operator: r.Operator,
		Replace: &ledger.Replace{Base: r.Base, Version: r.Config.Version, Origin: origin},
	}
	return n.decideHere(proposal{command: command, objects: objects})
}

// plan computes what a replacement changes, by the newest state applied.
func (a *consensus) plan(p *proposal) {
	if p.command.Replace == nil {
		return
	}
	replace := *p.command.Replace
	a.state.Plan(&replace, p.objects)
	p.command.Replace = &replace
}

// pack compresses a configuration for the log and the disks.
func pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errs.New("source: compress: %v", err)
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, errs.New("source: compress: %v", err)
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	if packed == nil {
		return nil, nil
	}
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(packed)))
	if err != nil {
		return nil, errs.New("source: decompress: %v", err)
	}
	return data, nil
}

// LeaderMember returns the replica that leads, and whether one is known.
func (n *Node) LeaderMember() (Member, bool) {
	name := n.Leader()
	if name == n.config.Name {
		return Member{Name: name, Address: n.config.Address}, true
	}
	if one := n.links.get(name); one != nil {
		return Member{Name: name, Address: one.address}, true
	}
	return Member{}, false
}

// ConfigDocument is a whole configuration read back.
type ConfigDocument struct {
	Version uint64
	Origin  []byte // Nil if none has been accepted yet.
}

const (
	readPause = 10 * time.Millisecond
	readWait  = 700 * time.Millisecond
)

// ReadConfig returns the newest whole configuration, as confirmed by a quorum
// after the call began. The error is ErrNoLeader if that can't be had.
func (n *Node) ReadConfig() (ConfigDocument, error) {
	latest, err := n.Latest()
	if err != nil {
		return ConfigDocument{}, ErrNoLeader
	}
	for began := n.config.Clock(); ; {
		var read ConfigDocument
		reached := false
		n.inspect(func(a *consensus) {
			reached = a.state.Revision() >= latest
			read = ConfigDocument{Version: a.state.Version(), Origin: a.state.Origin()}
		})
		if reached {
			read.Origin, err = unpack(read.Origin)
			return read, err
		}
		if n.config.Clock().Sub(began) > readWait || !n.pause(readPause) {
			return ConfigDocument{}, ErrNoLeader
		}
	}
}
