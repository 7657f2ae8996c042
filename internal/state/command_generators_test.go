package state_test

import (
	"fmt"

	"tealpond/internal/protocol"
	"tealpond/internal/state"
)

// commandGenerators has a generator for each registered command, and the weight with which
// it is chosen.
var commandGenerators = map[string]struct {
	weight   int
	generate func(g *generator) state.Command
}{
	state.CommandReplaceConfiguration: {2, func(g *generator) state.Command {
		return &state.ReplaceConfiguration{BaseVersion: g.store.Configuration.Version - int64(g.Intn(8)/7), Raw: g.configuration()}
	}},
	state.CommandChangeConfiguration: {2, func(g *generator) state.Command {
		g.version++
		raw := fmt.Sprintf(`{"configVersion":%d,"upsert":{"routeList":[{"name":"l%d","hostName":"h","pathPrefix":"/c%d/","timeoutMs":1000,"targetService":"s"}]},"remove":{"routeList":["l%d"]}}`,
			g.version, g.Intn(routeCount), g.Intn(routeCount), g.Intn(routeCount))
		return &state.ChangeConfiguration{BaseVersion: g.store.Configuration.Version - int64(g.Intn(8)/7), Raw: []byte(raw)}
	}},
	state.CommandSubmitJob: {6, func(g *generator) state.Command { return g.submission() }},
	state.CommandSubmitTenantJob: {8, func(g *generator) state.Command {
		return &state.SubmitTenantJob{
			Submit:        *g.submission(),
			Tenant:        fmt.Sprint("tenant", g.Intn(tenantCount)),
			ConfigVersion: g.store.Configuration.Version - int64(g.Intn(8)/7),
			BeyondShare:   g.Intn(3) == 0,
		}
	}},
	state.CommandApplyPlans: {20, func(g *generator) state.Command {
		c := &state.ApplyPlans{}
		for range 1 + g.Intn(3) {
			c.Plans = append(c.Plans, g.plan())
		}
		return c
	}},
	state.CommandReportCompletions: {16, func(g *generator) state.Command {
		a := g.allocation()
		w := g.store.Workers[a.Worker]
		if w == nil {
			w = &state.Worker{ID: a.Worker}
		}
		c := &state.ReportCompletions{Worker: w.ID, Fence: w.Fence - int64(g.Intn(12)/11)}
		for i := range 1 + g.Intn(2) {
			c.Completions = append(c.Completions, protocol.Completion{
				Sequence:   w.LastCompletion + int64(i) + 1,
				Task:       a.TaskName(),
				Run:        a.Run - g.Intn(12)/11,
				Result:     g.oneOf("done", "done", "done", "failed", "stopped", "refused", "lapsed", "crashed"),
				Checkpoint: g.oneOf("", "text"),
			})
			a = g.allocation()
		}
		if g.Intn(3) == 0 {
			c.Checkpoints = []protocol.RunProgress{{Task: a.TaskName(), Run: a.Run, Checkpoint: fmt.Sprint("s", g.Intn(9))}}
		}
		return c
	}},
	state.CommandSetEligibility: {3, func(g *generator) state.Command {
		return &state.SetEligibility{
			ID:         g.worker().ID,
			Draining:   g.Intn(4) == 0,
			LeavesInMs: int64(g.Intn(500) - 100),
			Leaving:    g.Intn(12) == 0,
			Unhealthy:  g.Intn(4) == 0,
		}
	}},
	state.CommandReportEligibility: {3, func(g *generator) state.Command {
		worker := g.worker()
		return &state.ReportEligibility{
			ID:         worker.ID,
			Fence:      worker.Fence - int64(g.Intn(8)/7),
			Number:     g.store.EligibilityReports[worker.ID] + int64(g.Intn(4)-1),
			Draining:   g.Intn(8) == 0,
			LeavesInMs: int64(g.Intn(500) - 100),
			Leaving:    g.Intn(12) == 0,
			Unhealthy:  g.Intn(4) == 0,
		}
	}},
	state.CommandExpireLeases: {1, func(g *generator) state.Command {
		a, b := g.worker(), g.worker()
		return &state.ExpireLeases{Workers: []state.FencedWorker{{ID: a.ID, Fence: a.Fence}, {ID: b.ID, Fence: b.Fence}}}
	}},
	state.CommandEvacuateZone: {2, func(g *generator) state.Command {
		zone := g.oneOf("z1", "z2")
		return &state.EvacuateZone{Zone: zone, Evacuated: g.Intn(3) == 0, BaseRevision: g.store.Evacuations[zone].Revision - int64(g.Intn(8)/7)}
	}},
	state.CommandRegisterWorker: {4, func(g *generator) state.Command {
		w, node := g.worker(), g.node()
		id := w.ID
		if g.Intn(3) == 0 || id == "none" {
			g.workers++
			id = fmt.Sprint("w", g.workers)
		} else {
			node = w.Node
		}
		return &state.RegisterWorker{
			ID:             id,
			Node:           node,
			AgentProcessID: fmt.Sprint(g.workers),
			Service:        g.oneOf("s", "s", "t"),
			Zone:           g.oneOf("z1", "z2"),
			Labels:         append(g.labels(), g.oneOf("r1", "r2")),
			Capacity:       protocol.Resources{CPUUnits: 200, MemoryMB: 200, GPUs: 2},
			Draining:       g.Intn(12) == 0,
			LeavesInMs:     int64(g.Intn(500) - 250),
		}
	}},
	state.CommandStopRuns: {2, func(g *generator) state.Command {
		return &state.StopRuns{Allocations: []uint64{g.allocation().ID, g.allocation().ID}, Reason: g.oneOf("pushed", "stuck")}
	}},
	state.CommandCollectGarbage: {2, func(g *generator) state.Command { return &state.CollectGarbage{RebuildUsage: g.Intn(2) == 0} }},
	state.CommandRemoveUnused:   {2, func(*generator) state.Command { return &state.RemoveUnused{} }},
	state.CommandCancelJob:      {1, func(g *generator) state.Command { return &state.CancelJob{ID: g.jobID()} }},
	state.CommandAcquireLock: {2, func(g *generator) state.Command {
		return &state.AcquireLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), HoldMs: int64(g.Intn(400))}
	}},
	state.CommandRenewLock: {1, func(g *generator) state.Command {
		return &state.RenewLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), Fence: int64(g.Intn(20)), HoldMs: int64(g.Intn(400))}
	}},
	state.CommandReleaseLock: {1, func(g *generator) state.Command {
		return &state.ReleaseLock{Name: g.oneOf("l1", "l2"), Holder: g.oneOf("a", "b"), Fence: int64(g.Intn(20))}
	}},
	state.CommandNextNumber: {1, func(g *generator) state.Command { return &state.NextNumber{Name: g.oneOf("n1", "n2")} }},
	state.CommandPutKey: {2, func(g *generator) state.Command {
		return &state.PutKey{Key: g.oneOf("g.a", "g.b", "h.a"), Value: fmt.Sprint(g.Intn(200)), Expected: int64(g.Intn(10)), HistoryMs: int64(g.Intn(2000))}
	}},
	state.CommandAppointAggregator: {1, func(g *generator) state.Command {
		z := g.oneOf("z1", "z2")
		return &state.AppointAggregator{
			Aggregator:   state.ZoneAggregator{Zone: z, Member: g.oneOf("a", "b"), Address: "x"},
			BaseRevision: g.store.Aggregators[z].Revision,
		}
	}},
	state.CommandRaiseFormat: {1, func(g *generator) state.Command {
		return &state.RaiseFormat{Version: g.format()}
	}},
	state.CommandSetLimits: {1, func(g *generator) state.Command {
		return &state.SetLimits{Limits: state.Limits{
			JobRetentionMs: int64(g.Intn(4) * 300),
			MaxReplans:     g.Intn(3),
			RemoteFactor:   1 + 2*g.Float64(),
		}}
	}},
	state.CommandConfirmDigest: {1, func(g *generator) state.Command {
		return &state.ConfirmDigest{Index: g.store.AppliedIndex, Digest: g.Uint64()}
	}},
	state.CommandSetEpoch: {1, func(g *generator) state.Command { return &state.SetEpoch{Epoch: g.oneOf("e1", "e2")} }},
	state.CommandOfferJob: {2, func(g *generator) state.Command { return &state.OfferJob{Job: g.jobID(), Peer: g.oneOf("p1", "p2")} }},
	state.CommandResolveTransfer: {3, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.ResolveTransfer{
			Job:     id,
			OfferID: offerID,
			Peer:    peer,
			Epoch:   g.oneOf("e", "e", "e", "e", "e", "f"),
			Index:   g.store.LastID,
			Answer:  g.oneOf("taken", "refused", "voided", "done", "failed", "called_off", "released"),
		}
	}},
	state.CommandLendCapacity: {1, func(g *generator) state.Command {
		return &state.LendCapacity{
			ID:            fmt.Sprint("loan", g.Intn(6)),
			Peer:          g.oneOf("p1", "p2"),
			Service:       g.oneOf("s", "t"),
			MilliCPU:      int64(g.Intn(100)),
			MinMilliCPU:   10,
			DurationMs:    int64(g.Intn(2000)),
			Slices:        6,
			SliceMilliCPU: 20,
		}
	}},
	state.CommandAcceptJob: {3, func(g *generator) state.Command {
		g.jobs++
		j := g.job()
		j.PeriodicInstances = 0
		c := &state.AcceptJob{
			Peer:    g.oneOf("p1", "p2"),
			OfferID: int64(1 + g.Intn(30)),
			ID:      g.jobID(),
			Route:   g.route(),
			Loan:    fmt.Sprint("loan", g.Intn(6)),
			Job:     j,
		}
		if l := g.store.Loans[c.Loan]; l != nil {
			c.Peer = l.Peer
		}
		return c
	}},
	state.CommandWithdrawOffer: {1, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.WithdrawOffer{Peer: peer, OfferID: offerID, ID: id, Cancel: g.Intn(2) == 0}
	}},
	state.CommandReleaseJob: {1, func(g *generator) state.Command {
		id := g.jobID()
		peer, offerID := g.offer(id)
		return &state.ReleaseJob{Peer: peer, OfferID: offerID, ID: id}
	}},
}
