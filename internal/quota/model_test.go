package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/endivewalk/endivewalk/internal/quota"
)

// step is the resolution of the model.
const step = 5 * time.Millisecond

// model is a fleet of holders that ask leaders over a network, for one team.
type model struct {
	random  *rand.Rand
	now     time.Duration
	limit   quota.Limit
	holders []*modelHolder
	leaders []*modelLeader // The newest last.
	loss    float64        // Of messages, each way.
	delay   time.Duration  // The longest of a message.
	flight  []message
	granted []time.Duration // In order.
	refused int
	unknown int
	excess  string // What was wrong with the shares of all holders; empty if nothing.
	sent    int
	bytes   int
}

// modelHolder is a daemon. frozenUntil is when it runs again, and cutUntil when it has
// contact again.
type modelHolder struct {
	*quota.Holder
	rate        float64 // Calls per second that arrive.
	frozenUntil time.Duration
	cutUntil    time.Duration
	asked       time.Duration // When the request in flight was sent; 0 if there is none.
	waiting     []time.Duration
}

// modelLeader leads from when it was created, and grants until it ends.
type modelLeader struct {
	*quota.Allocator
	until time.Duration
}

// message is a request to a leader, or a reply to a holder.
type message struct {
	at      time.Duration
	holder  int
	leader  *modelLeader
	request *quota.Request
	reply   quota.Reply
}

const forever = time.Duration(math.MaxInt64)

func newModel(seed uint64, holders int, limit quota.Limit) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, delay: 20 * time.Millisecond, now: time.Hour}
	for i := range holders {
		m.holders = append(m.holders, &modelHolder{Holder: quota.NewHolder(uint64(i + 1))})
	}
	m.elect()
	return m
}

// elect makes a new leader. The previous one grants for a while longer.
func (m *model) elect() {
	if len(m.leaders) > 0 {
		m.leaders[len(m.leaders)-1].until = m.now + quota.LeaderTime
	}
	m.leaders = append(m.leaders, &modelLeader{Allocator: quota.NewAllocator(m.now), until: forever})
}

// run advances the model by the given time.
func (m *model) run(d time.Duration) {
	for end := m.now + d; m.now < end; m.now += step {
		m.check()
		m.deliver()
		for i, h := range m.holders {
			if m.now >= h.frozenUntil {
				m.serve(i, h)
			}
		}
	}
}

// check compares the shares of all holders, frozen ones included, with the limit.
func (m *model) check() {
	var rate, burst quota.Amount
	for _, h := range m.holders {
		r, b, _ := h.Share(m.now, team)
		rate += r
		burst += b
	}
	if m.excess == "" && (rate > m.limit.Rate || burst > m.limit.Burst) {
		m.excess = fmt.Sprintf("at %v: rate %d of %d, burst %d of %d", m.now-time.Hour, rate, m.limit.Rate, burst, m.limit.Burst)
	}
}

// serve lets calls arrive at a holder and sends its requests.
func (m *model) serve(i int, h *modelHolder) {
	for range poisson(m.random, h.rate*step.Seconds()) {
		m.count(h, h.Take(m.now, team, m.limit), m.now)
	}
	if len(h.waiting) > 0 && m.now-h.waiting[0] >= 300*time.Millisecond {
		m.retake(h)
	}
	if h.asked > 0 && m.now-h.asked >= quota.ReplyTime {
		h.asked = 0
		h.Fail()
	}
	if wait, ok := h.Due(m.now); ok && wait == 0 && h.asked == 0 {
		r := h.Request(m.now)
		h.asked = m.now
		m.sent++
		m.bytes += len(quota.EncodeDemands(r.Teams))
		m.send(h, message{holder: i, leader: m.anyLeader(), request: &r})
	}
}

// retake decides again on the calls that wait at a holder.
func (m *model) retake(h *modelHolder) {
	waiting := h.waiting
	h.waiting = nil
	for _, since := range waiting {
		m.count(h, h.Retake(m.now, team, m.limit), since)
	}
}

// count counts the outcome of a call that arrived at since, or lets it wait.
func (m *model) count(h *modelHolder, r quota.Result, since time.Duration) {
	most := 300 * time.Millisecond
	if r.Limited {
		most = 100 * time.Millisecond
	}
	switch {
	case r.Granted:
		m.granted = append(m.granted, m.now)
	case r.Wait && m.now-since < most:
		h.waiting = append(h.waiting, since)
	case r.Limited:
		m.refused++
	default:
		m.unknown++
	}
}

// anyLeader returns a leader that still grants.
func (m *model) anyLeader() *modelLeader {
	for {
		if l := m.leaders[m.random.IntN(len(m.leaders))]; m.now < l.until {
			return l
		}
	}
}

// send puts a message on the network, which may lose, delay or duplicate it.
func (m *model) send(h *modelHolder, msg message) {
	if m.now < h.cutUntil || m.random.Float64() < m.loss {
		return
	}
	copies := 1
	if m.random.Float64() < m.loss {
		copies = 2
	}
	for range copies {
		msg.at = m.now + time.Duration(m.random.Float64()*float64(m.delay))
		if m.random.Float64() < m.loss {
			msg.at += time.Duration(m.random.Float64() * float64(4*time.Second))
		}
		m.flight = append(m.flight, msg)
	}
}

// deliver hands over the messages that have arrived.
func (m *model) deliver() {
	flight := m.flight
	m.flight = nil
	for _, msg := range flight {
		h := m.holders[msg.holder]
		switch {
		case msg.at > m.now || msg.request == nil && m.now < h.frozenUntil:
			m.flight = append(m.flight, msg)
		case msg.request != nil && m.now < msg.leader.until:
			reply, ok := msg.leader.Lease(m.now, *msg.request, func(quota.ID) (quota.Limit, bool) { return m.limit, true })
			if ok {
				m.bytes += len(quota.EncodeLeases(reply.Leases))
				m.send(h, message{holder: msg.holder, reply: reply})
			}
		case msg.request == nil:
			if h.Accept(m.now, msg.reply) {
				h.asked = 0
				m.retake(h)
			}
		}
	}
}

// poisson returns a random number of arrivals with the given mean, which is small.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for p := r.Float64(); p > math.Exp(-mean); p *= r.Float64() {
		n++
	}
	return n
}

// worstWindow returns the most calls granted in any window of length w.
func worstWindow(granted []time.Duration, w time.Duration) int {
	worst, first := 0, 0
	for i, at := range granted {
		for granted[first] <= at-w {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

const team = quota.ID(7)
