package hub

import (
	"context"
	"slices"
	"time"

	"github.com/carawaylanding/carawaylanding/boottime"
	"github.com/carawaylanding/carawaylanding/consensus"
	"github.com/carawaylanding/carawaylanding/contract"
	"github.com/carawaylanding/carawaylanding/link"
	"github.com/carawaylanding/carawaylanding/telemetry"
)

const (
	// joinAfter is how long a hub hears no leader before it asks to be let
	// into the group.
	joinAfter = time.Second
	// askEvery is the wait between two requests to form or to join.
	askEvery = 250 * time.Millisecond
	// groupEvery is how often the leader looks at the group.
	groupEvery = 200 * time.Millisecond
	// learnerAlive is how lately a learner must have answered to become a
	// voter.
	learnerAlive = time.Second
	// voterDead is when a silent voter may be replaced by a learner that has
	// caught up.
	voterDead = 3 * time.Second
	// learnerGone is when a silent learner is struck off.
	learnerGone = 15 * time.Second
	// maxVoters bounds the group.
	maxVoters = 7
)

// peer is another hub that this one dials.
type peer struct {
	dialer *link.Dialer
	cancel context.CancelFunc
}

// peerHandler takes what another hub says on a link that this hub dialled.
type peerHandler struct {
	h    *Hub
	addr string
}

func (p peerHandler) LinkUp(l *link.Link) {
	p.h.post(func() { p.h.log.Info("hub reached", "peer", p.addr) })
}

func (p peerHandler) Receive(l *link.Link, _ uint64, m contract.Message) {
	if s, ok := m.(*contract.HubState); ok {
		p.h.post(func() { p.h.learnHubs(s) })
	}
}

func (p peerHandler) LinkDown(l *link.Link, err error) {
	p.h.post(func() { p.h.log.Info("hub lost", "peer", p.addr, "err", err) })
}

// dialPeers keeps a link to each hub of the group, to the seeds, and to those
// that were heard of.
func (h *Hub) dialPeers() {
	g := h.node.Group()
	for _, list := range [][]contract.LogMember{g.Voters, g.Learners} {
		for _, m := range list {
			h.dial(m.Addr)
		}
	}
	for _, a := range h.cfg.Seeds() {
		h.dial(a)
	}
}

func (h *Hub) dial(addr string) {
	if addr == h.cfg.Addr || h.peers[addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(h.ctx)
	d := &link.Dialer{Addr: addr, Local: h.hello(), Config: LinkConfig, Handler: peerHandler{h, addr}}
	h.peers[addr] = &peer{dialer: d, cancel: cancel}
	h.group.Go(func() error { return d.Run(ctx) })
}

func (h *Hub) learnHubs(s *contract.HubState) {
	for _, a := range s.Hubs {
		h.dial(a)
	}
}

// knownHubs returns the addresses of the group's members, or what is known
// where there is no group yet.
func (h *Hub) knownHubs() []string {
	g := h.node.Group()
	var out []string
	for _, m := range append(slices.Clone(g.Voters), g.Learners...) {
		out = append(out, m.Addr)
	}
	if len(out) == 0 {
		out = append(out, h.cfg.Addr)
		for a := range h.peers {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (h *Hub) sendLog(ms []contract.LogMessage) {
	for i := range ms {
		p := h.peers[ms[i].To.Addr]
		if p == nil {
			h.dial(ms[i].To.Addr)
			continue
		}
		if l := p.dialer.Link(); l != nil {
			if err := l.Send(&ms[i]); err != nil {
				h.log.V(1).Info("log message not sent", "to", ms[i].To.Addr, "err", err)
			}
		}
	}
}

// form makes the first group, of the seeds: the one with the lowest address
// asks the others for their disks. Only a system that starts for the first
// time forms one, and only while every seed's disk is empty.
func (h *Hub) form(now time.Duration) {
	seeds := slices.Sorted(slices.Values(h.cfg.Seeds()))
	if !h.cfg.First || !h.empty() || len(seeds) == 0 || seeds[0] != h.cfg.Addr || now-h.formAsked < askEvery {
		return
	}
	h.formAsked = now
	group := contract.LogGroup{Voters: []contract.LogMember{h.self}}
	for _, a := range seeds[1:] {
		r, ok := h.formed[a]
		if !ok {
			h.askDisk(a)
			continue
		}
		if !r.Empty {
			return
		}
		group.Voters = append(group.Voters, r.Member)
	}
	if len(group.Voters) == len(seeds) {
		h.log.Info("group formed", "voters", len(group.Voters))
		h.node.Form(now, group)
	}
}

func (h *Hub) empty() bool { return h.node.LastIndex() == 0 && h.node.Term() == 0 }

func (h *Hub) askDisk(addr string) {
	p := h.peers[addr]
	if p == nil || p.dialer.Link() == nil {
		return
	}
	h.group.Go(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, LinkConfig.Silence)
		defer cancel()
		m, err := p.dialer.Call(ctx, &contract.DiskQuery{})
		if r, ok := m.(*contract.DiskReply); err == nil && ok {
			h.post(func() { h.formed[addr] = *r })
		}
		return nil
	})
}

// join asks to be let into the group while no leader is heard: a hub that is
// new, lost its disk, or was replaced while it was away.
func (h *Hub) join(now time.Duration) {
	if h.node.Role() == consensus.Leader || h.node.HeardAt()+joinAfter > now || now-h.joinAsked < askEvery {
		return
	}
	h.joinAsked = now
	for _, p := range h.peers {
		if l := p.dialer.Link(); l != nil {
			if err := l.Send(&contract.JoinLog{Member: h.self}); err != nil {
				h.log.V(1).Info("request to join not sent", "err", err)
			}
		}
	}
}

// takeJoin lets a hub learn the log.
func (h *Hub) takeJoin(now time.Duration, m contract.LogMember) {
	if h.lead == nil || consensus.IsMember(h.node.Group(), m) {
		return
	}
	h.dial(m.Addr)
	if h.node.ProposeGroup(consensus.WithLearner(h.node.Group(), m), now) {
		h.log.Info("hub learns the log", "member", m.Addr, "disk", m.Disk)
	}
}

// tendGroup makes voters of learners that have caught up, in place of voters
// that are dead or whose disk is lost. The group never shrinks below twice the
// tolerance, so that a majority always holds a copy more than may be lost.
func (h *Hub) tendGroup(now time.Duration) {
	if now-h.groupAt < groupEvery || !h.node.Established() || !h.node.GroupSettled() {
		return
	}
	h.groupAt = now
	g := h.node.Group()
	for _, l := range g.Learners {
		switch {
		case h.node.Silence(now, l) > learnerGone:
			h.changeGroup(now, "learner struck off", l, consensus.Without(g, l))
			return
		case h.node.Silence(now, l) < learnerAlive && h.node.CaughtUp(l):
			h.promote(now, g, l)
			return
		}
	}
	if len(g.Voters) > 2*h.cfg.Tolerance+1 {
		if dead, ok := h.deadVoter(now, g); ok {
			h.changeGroup(now, "dead voter struck off", dead, consensus.Without(g, dead))
		}
	}
}

// promote makes a voter of a learner, after its host's lost disk or a dead
// voter has been struck off.
func (h *Hub) promote(now time.Duration, g contract.LogGroup, l contract.LogMember) {
	for _, v := range g.Voters {
		if v.Addr == l.Addr {
			h.changeGroup(now, "lost disk struck off", v, consensus.Without(g, v))
			return
		}
	}
	dead, ok := h.deadVoter(now, g)
	if ok && len(g.Voters) > 2*h.cfg.Tolerance {
		h.changeGroup(now, "dead voter struck off", dead, consensus.Without(g, dead))
		return
	}
	if len(g.Voters) < maxVoters {
		h.changeGroup(now, "voter added", l, consensus.WithVoter(g, l))
	}
}

func (h *Hub) deadVoter(now time.Duration, g contract.LogGroup) (contract.LogMember, bool) {
	for _, v := range g.Voters {
		if v != h.self && h.node.Silence(now, v) > voterDead {
			return v, true
		}
	}
	return contract.LogMember{}, false
}

func (h *Hub) changeGroup(now time.Duration, what string, m contract.LogMember, g contract.LogGroup) {
	if h.node.ProposeGroup(g, now) {
		h.log.Info(what, "member", m.Addr, "disk", m.Disk, "voters", len(g.Voters))
	}
}

// inboundHandler takes what comes on links that others dialled.
type inboundHandler Hub

func (i *inboundHandler) LinkUp(l *link.Link) {
	h := (*Hub)(i)
	h.post(func() {
		h.inbound[l] = true
		s := h.hubState(boottime.Now())
		if err := l.Send(&s); err != nil {
			h.log.V(1).Info("state not sent", "peer", l.Remote().Host, "err", err)
		}
		h.tellWorker(l)
	})
}

// tellWorker tells an agent which worker it had. A hub that has just started
// does so before it knows what is committed: the worker's own answers show
// whether that is still true.
func (h *Hub) tellWorker(l *link.Link) {
	w, ok := h.state.Agents[l.Remote().Host]
	if !ok {
		w, ok = h.stored[l.Remote().Host]
	}
	if !ok || w.ID == "" {
		return
	}
	if err := l.Send(&contract.KnownWorker{Worker: w}); err != nil {
		h.log.V(1).Info("worker not told", "peer", l.Remote().Host, "err", err)
	}
}

func (i *inboundHandler) LinkDown(l *link.Link, err error) {
	h := (*Hub)(i)
	h.post(func() {
		delete(h.inbound, l)
		if h.lead != nil {
			h.lead.linkDown(h, l)
		}
	})
}

func (i *inboundHandler) Receive(l *link.Link, seq uint64, m contract.Message) {
	h := (*Hub)(i)
	h.post(func() { h.receive(boottime.Now(), l, seq, m) })
}

func (h *Hub) receive(now time.Duration, l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.LogMessage:
		h.node.Step(now, m)
	case *contract.JoinLog:
		h.takeJoin(now, m.Member)
	case *contract.DiskQuery:
		h.reply(l, seq, &contract.DiskReply{Member: h.self, Empty: h.empty()})
	case *contract.JobSubmit:
		h.submit(now, replyTo{l, seq}, m)
	case *contract.JobQuery:
		h.query(now, replyTo{l, seq}, m)
	case *contract.WorkerReport, *contract.WorkerEnds, *contract.AgentBeat, *contract.OrdersTaken:
		h.agentMessage(now, l, m)
	}
}

func (h *Hub) reply(l *link.Link, seq uint64, m contract.Message) {
	if err := l.Reply(seq, m); err != nil {
		h.log.V(1).Info("reply not sent", "peer", l.Remote().Host, "err", err)
	}
}

func (h *Hub) hubState(now time.Duration) contract.HubState {
	return contract.HubState{Term: h.node.Term(), Leads: h.leads(now), Hubs: h.knownHubs(), Leader: h.node.LeaderMember().Addr}
}

// sayState tells all links when the state changed, and at intervals while this
// hub leads.
func (h *Hub) sayState(now time.Duration) {
	s := contract.HubState{Term: h.node.Term(), Leads: h.leads(now), Leader: h.node.LeaderMember().Addr}
	changed := s.Leads != h.said.Leads || s.Leader != h.said.Leader || s.Leads && s.Term != h.said.Term
	if !changed && !(s.Leads && now-h.saidAt >= stateEvery) {
		return
	}
	if changed {
		telemetry.Term.Set(float64(s.Term))
		telemetry.Leads.Set(0)
		if s.Leads {
			telemetry.Leads.Set(1)
		}
		h.log.Info("leadership", "term", s.Term, "leads", s.Leads, "leader", s.Leader, "role", h.node.Role().String())
	}
	h.said, h.saidAt = s, now
	s.Hubs = h.knownHubs()
	for l := range h.inbound {
		if err := l.Send(&s); err != nil {
			h.log.V(1).Info("state not sent", "peer", l.Remote().Host, "err", err)
		}
	}
}
