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
	// joinDelay is how long a hub must have heard from no leader before it asks
	// to join the group.
	joinDelay = time.Second
	// requestInterval is the wait between two attempts to form or to join the
	// group.
	requestInterval = 250 * time.Millisecond
	// groupCheckInterval is how often the leader checks whether to change the
	// group.
	groupCheckInterval = 200 * time.Millisecond
	// learnerActiveWithin is how recently a learner must have answered to be
	// promoted to voter.
	learnerActiveWithin = time.Second
	// voterTimeout is how long a voter may be silent before it counts as dead. A
	// dead voter may be removed or replaced by a learner that has caught up.
	voterTimeout = 3 * time.Second
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 15 * time.Second
	// maxVoters is the number of voters up to which learners are promoted.
	maxVoters = 7
)

// peer is another hub, to which this hub maintains a link.
type peer struct {
	dialer *link.Dialer
}

// peerHandler handles the events of a link that this hub dialled to another hub.
type peerHandler struct {
	h    *Hub
	addr string
}

// LinkUp tells the peer the state of this hub: the peer may not reach this hub by a link
// of its own yet.
func (p peerHandler) LinkUp(l *link.Link) {
	p.h.post(func() {
		p.h.log.Info("hub connected", "peer", p.addr)
		s := p.h.hubState(boottime.Now())
		if err := l.Send(&s); err != nil {
			p.h.log.V(1).Info("hub state not sent", "peer", p.addr, "err", err)
		}
	})
}

// Receive dials the hubs that the peer announces, and passes on what the peer says of
// itself as a member of the log. The peer sends its consensus messages on the link that
// it dialled itself.
func (p peerHandler) Receive(l *link.Link, _ uint64, m contract.Message) {
	if s, ok := m.(*contract.HubState); ok {
		p.h.post(func() {
			p.h.dialHubs(s)
			p.h.recordPeerState(s)
		})
	}
}

// LinkDown logs the loss of the connection.
func (p peerHandler) LinkDown(l *link.Link, err error) {
	p.h.post(func() { p.h.log.Info("hub disconnected", "peer", p.addr, "err", err) })
}

// dialPeers dials each member of the group and each seed.
func (h *Hub) dialPeers() {
	g := h.node.Group()
	for _, list := range [][]contract.LogMember{g.Voters, g.Learners} {
		for _, m := range list {
			h.dialHub(m.Addr)
		}
	}
	for _, addr := range h.cfg.Seeds() {
		h.dialHub(addr)
	}
}

// dialHub starts to maintain a link to the hub at addr, unless addr is this hub's
// own address or that of a known peer.
func (h *Hub) dialHub(addr string) {
	if addr == h.cfg.Addr || h.peers[addr] != nil {
		return
	}
	d := &link.Dialer{Addr: addr, Local: h.hello(), Config: LinkConfig, Handler: peerHandler{h, addr}}
	h.peers[addr] = &peer{dialer: d}
	h.goroutines.Go(func() error { return d.Run(h.ctx) })
}

// dialHubs dials the hubs that another hub has announced.
func (h *Hub) dialHubs(s *contract.HubState) {
	for _, addr := range s.Hubs {
		h.dialHub(addr)
	}
}

// recordPeerState passes on what another hub says of itself as a member of the log. A hub
// of an earlier version says nothing.
func (h *Hub) recordPeerState(s *contract.HubState) {
	if s.Member.Addr != "" {
		h.node.PeerReported(boottime.Now(), consensus.PeerState{Self: s.Member, Leaderless: s.Leader == "", GroupID: s.GroupID})
	}
}

// knownHubs returns the sorted addresses of the group's members or, while there
// is no group, those of this hub and its peers.
func (h *Hub) knownHubs() []string {
	g := h.node.Group()
	var out []string
	for _, m := range append(slices.Clone(g.Voters), g.Learners...) {
		out = append(out, m.Addr)
	}
	if len(out) == 0 {
		out = append(out, h.cfg.Addr)
		for addr := range h.peers {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// sendConsensusMessages sends messages to the hubs that they are addressed to. It
// drops messages to a hub without a link; the consensus protocol tolerates the
// loss.
func (h *Hub) sendConsensusMessages(ms []contract.LogMessage) {
	for i := range ms {
		p := h.peers[ms[i].To.Addr]
		if p == nil {
			h.dialHub(ms[i].To.Addr)
			continue
		}
		if l := p.dialer.Link(); l != nil {
			if err := l.Send(&ms[i]); err != nil {
				h.log.V(1).Info("consensus message not sent", "to", ms[i].To.Addr, "err", err)
			}
		}
	}
}

// formGroup forms the initial group from the seeds. The seed with the lowest
// address asks the others for the identities of their disks, and forms the group
// once all have answered. It does so only on the first start of the system, and
// only if the disk of every seed is empty.
func (h *Hub) formGroup(now time.Duration) {
	seeds := slices.Sorted(slices.Values(h.cfg.Seeds()))
	if !h.cfg.AllowGroupFormation || !h.diskEmpty() || len(seeds) == 0 || seeds[0] != h.cfg.Addr || now-h.disksQueriedAt < requestInterval {
		return
	}
	h.disksQueriedAt = now
	group := contract.LogGroup{Voters: []contract.LogMember{h.self}}
	for _, addr := range seeds[1:] {
		r, ok := h.diskReplies[addr]
		if !ok {
			h.queryDisk(addr)
			continue
		}
		if !r.Empty {
			return
		}
		group.Voters = append(group.Voters, r.Member)
	}
	if len(group.Voters) == len(seeds) {
		h.log.Info("group formed", "voters", len(group.Voters))
		h.node.FormGroup(now, group)
	}
}

// diskEmpty reports whether this hub's disk has never belonged to a group.
func (h *Hub) diskEmpty() bool { return h.node.LastIndex() == 0 && h.node.Term() == 0 }

// queryDisk asks the hub at addr for the identity of its disk, and stores the
// reply in diskReplies.
func (h *Hub) queryDisk(addr string) {
	p := h.peers[addr]
	if p == nil || p.dialer.Link() == nil {
		return
	}
	h.goroutines.Go(func() error {
		ctx, cancel := context.WithTimeout(h.ctx, LinkConfig.SilenceTimeout)
		defer cancel()
		m, err := p.dialer.Call(ctx, &contract.DiskQuery{})
		if r, ok := m.(*contract.DiskReply); err == nil && ok {
			h.post(func() { h.diskReplies[addr] = *r })
		}
		return nil
	})
}

// requestJoin asks all peers to add this hub to the group, unless it has heard
// from a leader within joinDelay. A hub hears from no leader if it is new, has
// lost its disk, or was replaced while it was down.
func (h *Hub) requestJoin(now time.Duration) {
	if h.node.Role() == consensus.Leader || h.node.LastLeaderContact()+joinDelay > now || now-h.joinRequestedAt < requestInterval {
		return
	}
	h.joinRequestedAt = now
	for _, p := range h.peers {
		if l := p.dialer.Link(); l != nil {
			if err := l.Send(&contract.JoinLog{Member: h.self}); err != nil {
				h.log.V(1).Info("request to join not sent", "err", err)
			}
		}
	}
}

// handleJoin proposes to add a hub that has asked to join the group as a learner.
func (h *Hub) handleJoin(now time.Duration, m contract.LogMember) {
	if h.leader == nil || consensus.IsMember(h.node.Group(), m) {
		return
	}
	h.dialHub(m.Addr)
	if h.node.ProposeGroup(consensus.WithLearner(h.node.Group(), m), now) {
		h.log.Info("learner added", "member", m.Addr, "disk", m.Disk)
	}
}

// reconcileGroup promotes learners that have caught up, replaces voters that are
// dead or have lost their disk, and removes silent learners. It proposes one change
// at a time. It removes a dead voter only if at least 2*MaxLostDisks voters remain,
// so that a majority of them has more members than may lose their disks at once.
func (h *Hub) reconcileGroup(now time.Duration) {
	if now-h.groupCheckedAt < groupCheckInterval || !h.node.IsEstablishedLeader() || !h.node.GroupCommitted() {
		return
	}
	h.groupCheckedAt = now
	g := h.node.Group()
	for _, learner := range g.Learners {
		switch {
		case h.node.SinceLastReply(now, learner) > learnerTimeout:
			h.changeGroup(now, "silent learner removed", learner, consensus.WithoutMember(g, learner))
			return
		case h.node.SinceLastReply(now, learner) < learnerActiveWithin && h.node.CaughtUp(learner):
			h.promote(now, g, learner)
			return
		}
	}
	if len(g.Voters) > 2*h.cfg.MaxLostDisks+1 {
		if dead, ok := h.deadVoter(now, g); ok {
			h.changeGroup(now, "dead voter removed", dead, consensus.WithoutMember(g, dead))
		}
	}
}

// promote makes the learner a voter. If the group has a voter with the learner's
// address, whose disk must have been lost, or a dead voter, promote removes that
// voter instead, and a later check promotes the learner.
func (h *Hub) promote(now time.Duration, g contract.LogGroup, learner contract.LogMember) {
	for _, v := range g.Voters {
		if v.Addr == learner.Addr {
			h.changeGroup(now, "voter with lost disk removed", v, consensus.WithoutMember(g, v))
			return
		}
	}
	dead, ok := h.deadVoter(now, g)
	if ok && len(g.Voters) > 2*h.cfg.MaxLostDisks {
		h.changeGroup(now, "dead voter removed", dead, consensus.WithoutMember(g, dead))
		return
	}
	if len(g.Voters) < maxVoters {
		h.changeGroup(now, "voter added", learner, consensus.WithVoter(g, learner))
	}
}

// deadVoter returns a voter, other than this hub, that has been silent for longer
// than voterTimeout, and whether there is one.
func (h *Hub) deadVoter(now time.Duration, g contract.LogGroup) (contract.LogMember, bool) {
	for _, v := range g.Voters {
		if v != h.self && h.node.SinceLastReply(now, v) > voterTimeout {
			return v, true
		}
	}
	return contract.LogMember{}, false
}

// changeGroup proposes the group g. If the proposal is appended to the log,
// changeGroup logs msg and the member m that was added or removed.
func (h *Hub) changeGroup(now time.Duration, msg string, m contract.LogMember, g contract.LogGroup) {
	if h.node.ProposeGroup(g, now) {
		h.log.Info(msg, "member", m.Addr, "disk", m.Disk, "voters", len(g.Voters))
	}
}

// inboundHandler handles the events of the links that other processes dialled.
type inboundHandler Hub

// LinkUp sends this hub's state and, if the other process is an agent that had a
// worker, that worker.
func (i *inboundHandler) LinkUp(l *link.Link) {
	h := (*Hub)(i)
	h.post(func() {
		h.inbound[l] = true
		if h.leader != nil {
			h.leader.sched.AgentConnected(boottime.Now(), l.Remote().Host)
		}
		h.recordHubDomain(l.Remote())
		h.sendState(l, h.hubState(boottime.Now()))
		h.sendKnownWorker(l)
		h.relayLinkUp(l)
	})
}

// sendKnownWorker tells the agent at the other end of the link which worker it
// had, if that is known. A hub that has just started may know it from a log entry
// that is not committed. The worker's own replies show the agent whether the
// information still holds.
func (h *Hub) sendKnownWorker(l *link.Link) {
	w, ok := h.state.Agents[l.Remote().Host]
	if !ok {
		w, ok = h.uncommittedWorkers[l.Remote().Host]
	}
	if !ok || w.ID == "" {
		return
	}
	if err := l.Send(&contract.KnownWorker{Worker: w}); err != nil {
		h.log.V(1).Info("known worker not sent", "peer", l.Remote().Host, "err", err)
	}
}

// LinkDown removes the link and marks the agent that used it as unreachable.
func (i *inboundHandler) LinkDown(l *link.Link, err error) {
	h := (*Hub)(i)
	h.post(func() {
		delete(h.inbound, l)
		delete(h.entryAliveAt, l)
		h.relayLinkDown(l)
		if h.leader != nil {
			h.leader.agentLinkDown(h, l)
		}
	})
}

// Receive handles the message in the event loop. A submission waits until the others that
// wait leave room for it; meanwhile, no more is read from its entry.
func (i *inboundHandler) Receive(l *link.Link, seq uint64, m contract.Message) {
	h := (*Hub)(i)
	if s, ok := m.(*contract.JobSubmit); ok {
		done, err := h.intake.enter(h.ctx, s.Footprint())
		if err != nil {
			return // the hub stops
		}
		h.post(func() {
			defer done()
			h.receive(boottime.Now(), l, seq, m)
		})
		return
	}
	h.post(func() { h.receive(boottime.Now(), l, seq, m) })
}

func (h *Hub) receive(now time.Duration, l *link.Link, seq uint64, m contract.Message) {
	switch m := m.(type) {
	case *contract.LogMessage:
		h.node.Step(now, m)
	case *contract.HubState:
		h.recordPeerState(m)
	case *contract.JoinLog:
		h.handleJoin(now, m.Member)
	case *contract.DiskQuery:
		h.reply(l, seq, &contract.DiskReply{Member: h.self, Empty: h.diskEmpty()})
	case *contract.JobSubmit:
		h.handleSubmit(now, replyTo{l, seq}, m)
	case *contract.JobQuery:
		h.handleQuery(now, replyTo{l, seq}, m)
	case *contract.StateEcho:
		h.recordEcho(l, m.Stamp)
	case *contract.WorkerReport, *contract.WorkerEnds, *contract.AgentBeat, *contract.OrdersTaken:
		h.handleAgentMessage(now, l, m)
	}
}

// reply answers the message that arrived on l with the sequence number seq.
func (h *Hub) reply(l *link.Link, seq uint64, m contract.Message) {
	if r, ok := m.(*contract.JobReply); ok && r.Verdict != contract.VerdictNotLeader {
		r.TablesVersion = h.state.Tables.Version
	}
	if err := l.Reply(seq, m); err != nil {
		h.log.V(1).Info("reply not sent", "peer", l.Remote().Host, "err", err)
	}
}

// hubState returns the state that this hub announces on its inbound links.
func (h *Hub) hubState(now time.Duration) contract.HubState {
	s := h.leadership(now)
	s.Hubs, s.Stamp = h.knownHubs(), int64(now)
	return s
}

// leadership returns this hub's state without the addresses of the hubs.
func (h *Hub) leadership(now time.Duration) contract.HubState {
	s := contract.HubState{Term: h.node.Term(), Leads: h.holdsLeaderLease(now), Leader: h.node.LeaderMember().Addr}
	if s.Leads {
		s.Evacuated, s.ClientLimits = h.state.Evacuated, h.limitsOnClients()
	}
	if s.Leader == "" {
		s.Member, s.GroupID = h.self, consensus.GroupID(h.node.Group())
	}
	return s
}

// broadcastState sends this hub's state on all inbound links when its leadership,
// its known leader or, on the leader, the evacuated domains or the limits on clients have
// changed, and every stateBroadcastInterval while it leads.
func (h *Hub) broadcastState(now time.Duration) {
	s := h.leadership(now)
	changed := s.Leads != h.lastBroadcast.Leads || s.Leader != h.lastBroadcast.Leader || s.Leads && s.Term != h.lastBroadcast.Term
	same := !changed && slices.Equal(s.Evacuated, h.lastBroadcast.Evacuated) && s.ClientLimits == h.lastBroadcast.ClientLimits
	if same && !(s.Leads && now-h.lastBroadcastAt >= stateBroadcastInterval) {
		return
	}
	if changed {
		telemetry.Term.Set(float64(s.Term))
		telemetry.IsLeader.Set(0)
		if s.Leads {
			telemetry.IsLeader.Set(1)
		}
		h.log.Info("leadership state changed", "term", s.Term, "leads", s.Leads, "leader", s.Leader, "role", h.node.Role().String())
	}
	h.lastBroadcast, h.lastBroadcastAt = s, now
	s.Hubs, s.Stamp = h.knownHubs(), int64(now)
	for l := range h.inbound {
		h.sendState(l, s)
	}
}

// sendState sends this hub's state on an inbound link. While this hub leads, the receiver
// learns whether an earlier process of its host may know the term.
func (h *Hub) sendState(l *link.Link, s contract.HubState) {
	if s.Leads {
		remote := l.Remote()
		if _, told := h.leader.toldFirst[remote.Host]; !told {
			h.leader.toldFirst[remote.Host] = remote.Incarnation
		}
		s.FirstOfHost = h.leader.toldFirst[remote.Host] == remote.Incarnation
	}
	if err := l.Send(&s); err != nil {
		h.log.V(1).Info("hub state not sent", "peer", l.Remote().Host, "err", err)
	}
}
