package rig2

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Times of the freeze and of the store's drill.
const (
	// freezeDelay is the time from the first order to the freeze.
	freezeDelay = 200 * time.Millisecond
	// freezeTime is the longest freeze of the machine that gives orders in the site file.
	freezeTime = 6600 * time.Millisecond
	// copyDelay is how long after the beginning of the freeze the copy was made from which the store comes back.
	copyDelay = 300 * time.Millisecond
	// awayTime is how long the store is away.
	awayTime = 300 * time.Millisecond
	// watchTime is how long orders are watched after the thaw.
	watchTime = 6 * time.Second
)

// restoredStore freezes the node that gives orders until another one gives them, and lets the store come back from a
// copy that was made before the takeover. The thawed node must not give orders on the lease that it had. Without
// the disruption the node is frozen all the same, and the store stays as it is.
func restoredStore(ctx context.Context, r *rig) error {
	r.link = new(storeLink)
	if err := r.startEngines(ctx, manyEngines); err != nil {
		return err
	}
	if err := pause(ctx, 4*time.Second); err != nil {
		return err
	}
	if err := r.nameWeights(2); err != nil {
		return err
	}
	if err := waitFor(ctx, 20*time.Second, func() bool { return r.orderedReplicas() > 0 }); err != nil {
		return fmt.Errorf("no orders: %w", err)
	}
	holder := r.lastHolder()
	if err := pause(ctx, freezeDelay); err != nil {
		return err
	}
	if err := holder.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	frozen := time.Now()
	taken := func() bool { return r.lastHolder() != holder }
	if err := waitFor(ctx, freezeTime-awayTime, taken); err != nil {
		return fmt.Errorf("no other node took over in time: %w", err)
	}
	r.note("%s gives orders", r.lastHolder().name)
	if r.trouble {
		if err := r.drill(ctx, frozen.Add(copyDelay)); err != nil {
			return err
		}
	}
	if err := r.nameWeights(3); err != nil {
		return err
	}
	if err := pause(ctx, time.Until(frozen.Add(freezeTime))); err != nil {
		return err
	}
	if err := holder.signal(syscall.SIGCONT); err != nil {
		return err
	}
	thawed := thaw{node: holder.name, at: time.Now()}
	if err := pause(ctx, watchTime); err != nil {
		return err
	}
	return r.judgeOrders(r.bounds.lease, thawed)
}

// drill lets the store be away for a moment and come back from a copy of the given time.
func (r *rig) drill(ctx context.Context, copied time.Time) error {
	r.link.setAway(true)
	r.note("store: it is away")
	if err := pause(ctx, awayTime); err != nil {
		return err
	}
	age := time.Since(copied)
	r.store.RestoreCopy(age)
	r.link.setAway(false)
	r.note("store: it comes back from a copy that is %.3f s old", age.Seconds())
	return nil
}
