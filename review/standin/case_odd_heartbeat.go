package main

import (
	"fmt"
	"time"
)

func init() { cases["odd-heartbeat"] = oddHeartbeat }

// oddHeartbeat lets an endpoint deregister and serve on for some seconds, as the pages say of some endpoints. Meanwhile
// one heartbeat of another writer arrives, in which the field born is missing.
func oddHeartbeat(r *run) ([]string, error) {
	if err := r.startReservations(); err != nil {
		return nil, err
	}
	leaving := r.servers[0]
	leaving.silent.Store(true)
	time.Sleep(100 * time.Millisecond)
	if !leaving.tell("deregister", map[string]any{"born": leaving.born}) {
		return nil, fmt.Errorf("the deregistration was not acknowledged")
	}
	acknowledged := time.Now()
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		odd := leaving.heartbeat("ready")
		delete(odd, "born")
		leaving.tell("heartbeat", odd)
	}
	r.sendOrders(time.Until(acknowledged.Add(drainTime + 2500*time.Millisecond)))
	return r.arrivalsAfter(leaving, acknowledged, acknowledged.Add(drainTime)), nil
}
