package route

import "time"

// announcedMaxAge is the age of the last announcement of a peer up to which peers are taken to
// announce their sends, as they do in a large fleet.
const announcedMaxAge = time.Second

// jointWait predicts how long a new request waits at the target before its prefill begins. Where
// peers announce their sends, their loads are reported over relays and as old as these
// announcements are kept: the target has computed since then, and has received what was announced
// since. What was announced before is in the loads, unless the target has computed it.
func (b *Board) jointWait(now time.Time, t *target) time.Duration {
	if b.disabled.Has(AimAdmission) || now.Sub(b.announcedAt) > announcedMaxAge || t.peersAt.IsZero() {
		return t.queueWait(now)
	}
	recent := t.peerSendPrefill(now)
	age := now.Sub(t.peersAt) + peerSendTTL
	announced := 0
	for _, s := range t.peerSends {
		if now.Sub(s.at) <= age {
			announced += s.prefill
		}
	}
	peers := max(recent, float64(t.peerPrefill+announced)-age.Seconds()*t.rate())
	return seconds((float64(t.prefill)+peers)/t.rate()) + t.slotWait()
}

// maxUnseen bounds the backlog that is assumed of routers that do not report, as a multiple of the
// known one.
const maxUnseen = 1

// unseenWait returns the wait that routers add which may be running but do not report, on the
// assumption that they keep as much pending as the others.
func (b *Board) unseenWait(p *pool, seen time.Duration) time.Duration {
	known := 1 + p.asked.reporters
	missing := float64(b.limitSharers.value-known) / float64(known)
	return seconds(seen.Seconds() * min(max(0, missing), maxUnseen))
}
