package quota

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"
)

// Request is what a holder asks for: the renewal of its leases, with the shares that suit
// its demand.
type Request struct {
	Holder uint64 // Differs for each start of each daemon.
	Seq    uint64 // Grows with each request of the holder.
	Teams  []Demand
}

// Demand is the part of a request about one team.
type Demand struct {
	Team ID
	// Rate and Burst are the share that the holder has, 0 if it has no lease.
	Rate, Burst Amount
	// Demand is how many calls arrive per second, whether they were granted or not. 0 means
	// that the holder has given up its lease.
	Demand Amount
	// Tokens is what the bucket holds, or held when the lease was given up.
	Tokens  Amount
	Waiting Amount // Calls that wait for a token.
}

// Reply is the answer to the request with the same Seq.
type Reply struct {
	Seq    uint64
	Silent time.Duration // How long the leader will still only renew leases; 0 if it grants.
	Leases []Lease       // One for each team of the request, in the same order.
}

// Lease is the share of a holder of the limit of one team.
type Lease struct {
	None        bool // The holder gets no lease: the leader is silent, or does not know the team.
	Rate, Burst Amount
	Tokens      Amount // To be added to the bucket.
	Exhausted   bool   // The allocator has no tokens left to give.
}

// LeaseArgs is a Request as an argument of the method Quota.Lease of a source replica. Builds that do not know the method return an
// error, which the daemon treats like a replica that does not respond.
type LeaseArgs struct {
	Holder    uint64 // Differs for each start of each daemon.
	Seq       uint64 // Grows with each request of the holder.
	Teams     []byte // Encoded by EncodeDemands.
	Forwarded bool   // The sender is a replica that regards this one as the leader.
}

// LeaseReply is a Reply as the result of Quota.Lease.
type LeaseReply struct {
	Granted bool // The leader has answered; otherwise the other fields are zero.
	Silent  time.Duration
	Leases  []byte // Encoded by EncodeLeases.
}

// ErrBadMessage means that a text is no message of this package.
var ErrBadMessage = errs.New("quota: malformed message")

// idBytes is the size of an encoded ID.
const idBytes = 4

const (
	// maxTeams limits the teams in one message.
	maxTeams = 1 << 16
	// maxWaiting limits the calls that wait in one message, per team.
	maxWaiting = 1 << 20
)

// EncodeDemands returns the encoding of the teams of a request.
func EncodeDemands(teams []Demand) []byte {
	data := binary.AppendUvarint(nil, uint64(len(teams)))
	for i := range teams {
		d := &teams[i]
		data = binary.BigEndian.AppendUint32(data, uint32(d.Team))
		for _, v := range []Amount{d.Rate, d.Burst, d.Demand, d.Tokens, d.Waiting / call} {
			data = binary.AppendUvarint(data, uint64(v))
		}
	}
	return data
}

// DecodeDemands reads the result of EncodeDemands. The error is ErrBadMessage.
func DecodeDemands(data []byte) ([]Demand, error) {
	r := reader{data: data}
	teams := make([]Demand, r.count())
	for i := range teams {
		d := &teams[i]
		d.Team = r.id()
		for _, v := range []*Amount{&d.Rate, &d.Burst, &d.Demand, &d.Tokens, &d.Waiting} {
			*v = r.amount()
		}
		d.Waiting = min(d.Waiting, maxWaiting) * call
	}
	return teams, r.end()
}

// The flags of an encoded lease.
const (
	flagLease = 1 << iota
	flagExhausted
	flagTokens // Tokens follow; they are 0 otherwise.
	flagShare  // Rate and Burst follow; they are 0 otherwise.
)

// EncodeLeases returns the encoding of the leases of a reply.
func EncodeLeases(leases []Lease) []byte {
	data := binary.AppendUvarint(nil, uint64(len(leases)))
	for _, l := range leases {
		flags := byte(0)
		if !l.None {
			flags |= flagLease
		}
		if l.Exhausted {
			flags |= flagExhausted
		}
		if l.Tokens > 0 {
			flags |= flagTokens
		}
		if l.Rate > 0 || l.Burst > 0 {
			flags |= flagShare
		}
		data = append(data, flags)
		if flags&flagTokens != 0 {
			data = binary.AppendUvarint(data, uint64(l.Tokens))
		}
		if flags&flagShare != 0 {
			data = binary.AppendUvarint(data, uint64(l.Rate))
			data = binary.AppendUvarint(data, uint64(l.Burst))
		}
	}
	return data
}

// DecodeLeases reads the result of EncodeLeases. The error is ErrBadMessage.
func DecodeLeases(data []byte) ([]Lease, error) {
	r := reader{data: data}
	leases := make([]Lease, r.count())
	for i := range leases {
		flags := r.byte()
		leases[i].None = flags&flagLease == 0
		leases[i].Exhausted = flags&flagExhausted != 0
		if flags&flagTokens != 0 {
			leases[i].Tokens = r.amount()
		}
		if flags&flagShare != 0 {
			leases[i].Rate, leases[i].Burst = r.amount(), r.amount()
		}
	}
	return leases, r.end()
}

// reader reads an encoded message. After a fault all its results are 0.
type reader struct {
	data []byte
	bad  bool
}

func (r *reader) fail() { r.data, r.bad = nil, true }

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.data = r.data[n:]
	return v
}

// count reads the number of teams, each of which takes at least one byte.
func (r *reader) count() int {
	v := r.uvarint()
	if v > maxTeams || v > uint64(len(r.data)) {
		r.fail()
		return 0
	}
	return int(v)
}

func (r *reader) amount() Amount {
	v := r.uvarint()
	if v > uint64(maxCalls*float64(call)) {
		r.fail()
		return 0
	}
	return Amount(v)
}

func (r *reader) id() ID {
	if len(r.data) < idBytes {
		r.fail()
		return 0
	}
	v := binary.BigEndian.Uint32(r.data)
	r.data = r.data[idBytes:]
	return ID(v)
}

func (r *reader) byte() byte {
	if len(r.data) == 0 {
		r.fail()
		return 0
	}
	v := r.data[0]
	r.data = r.data[1:]
	return v
}

// end returns ErrBadMessage after a fault or if something is left.
func (r *reader) end() error {
	if r.bad || len(r.data) > 0 {
		return ErrBadMessage
	}
	return nil
}
