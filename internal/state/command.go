package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Command changes the state. Nothing else does: a command is proposed by the
// leader, committed to the log and applied by each replica in the log's order.
// Apply must be deterministic. It reads the state and the command only, never
// a clock, a setting or a map's order, since replicas must stay equal.
type Command interface {
	Apply(s *Store) Outcome
}

// Names of commands in the log. They are older than the Go types' present names,
// and never change: logs of earlier versions and messages between daemons of two
// versions contain them.
const (
	CommandAcceptJob            = "accept"
	CommandAcquireLock          = "lock"
	CommandAppointAggregator    = "appoint"
	CommandApplyPlans           = "book"
	CommandCancelJob            = "cancel"
	CommandChangeConfiguration  = "change"
	CommandCollectGarbage       = "sweep"
	CommandConfirmDigest        = "agree"
	CommandEvacuateZone         = "evacuate"
	CommandExpireLeases         = "lapse"
	CommandForgetUnused         = "forget"
	CommandLendCapacity         = "lend"
	CommandNextNumber           = "number"
	CommandOfferJob             = "offer"
	CommandPutKey               = "put"
	CommandRegisterWorker       = "takeup"
	CommandReleaseJob           = "release"
	CommandReleaseLock          = "unlock"
	CommandRenewLock            = "relock"
	CommandReplaceConfiguration = "replace"
	CommandReportCompletions    = "ends"
	CommandSetEligibility       = "eligible"
	CommandSetEpoch             = "mint"
	CommandSetLimits            = "limits"
	CommandResolveTransfer      = "settle"
	CommandStopRuns             = "halt"
	CommandSubmitJob            = "handin"
	CommandSubmitTenantJob      = "submit"
	CommandWithdrawOffer        = "void"
)

// commandConstructors makes an empty command of each name, to decode into.
var commandConstructors = map[string]func() Command{
	CommandAcceptJob:            func() Command { return &AcceptJob{} },
	CommandAcquireLock:          func() Command { return &AcquireLock{} },
	CommandAppointAggregator:    func() Command { return &AppointAggregator{} },
	CommandApplyPlans:           func() Command { return &ApplyPlans{} },
	CommandCancelJob:            func() Command { return &CancelJob{} },
	CommandChangeConfiguration:  func() Command { return &ChangeConfiguration{} },
	CommandCollectGarbage:       func() Command { return &CollectGarbage{} },
	CommandConfirmDigest:        func() Command { return &ConfirmDigest{} },
	CommandEvacuateZone:         func() Command { return &EvacuateZone{} },
	CommandExpireLeases:         func() Command { return &ExpireLeases{} },
	CommandForgetUnused:         func() Command { return &ForgetUnused{} },
	CommandLendCapacity:         func() Command { return &LendCapacity{} },
	CommandNextNumber:           func() Command { return &NextNumber{} },
	CommandPutKey:               func() Command { return &PutKey{} },
	CommandOfferJob:             func() Command { return &OfferJob{} },
	CommandRegisterWorker:       func() Command { return &RegisterWorker{} },
	CommandReleaseJob:           func() Command { return &ReleaseJob{} },
	CommandReleaseLock:          func() Command { return &ReleaseLock{} },
	CommandRenewLock:            func() Command { return &RenewLock{} },
	CommandReplaceConfiguration: func() Command { return &ReplaceConfiguration{} },
	CommandReportCompletions:    func() Command { return &ReportCompletions{} },
	CommandSetEligibility:       func() Command { return &SetEligibility{} },
	CommandSetEpoch:             func() Command { return &SetEpoch{} },
	CommandSetLimits:            func() Command { return &SetLimits{} },
	CommandResolveTransfer:      func() Command { return &ResolveTransfer{} },
	CommandStopRuns:             func() Command { return &StopRuns{} },
	CommandSubmitJob:            func() Command { return &SubmitJob{} },
	CommandSubmitTenantJob:      func() Command { return &SubmitTenantJob{} },
	CommandWithdrawOffer:        func() Command { return &WithdrawOffer{} },
}

// EncodedCommand is a command as it stands in the log.
type EncodedCommand struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Body []byte
}

// Batch is the content of one entry of the log: commands that are applied one
// after the other, at the times that the leader gave them.
type Batch struct {
	_         struct{} `cbor:",toarray"`
	Clock     int64    // ms, the leader's monotonic clock of the cluster
	WallClock int64    // ms since 1970
	Commands  []EncodedCommand
}

// EncodeCommand encodes a command for the log. It panics if no command is
// registered under the name, since no replica could apply it.
func EncodeCommand(name string, command Command) EncodedCommand {
	if commandConstructors[name] == nil {
		panic("state: unknown command " + name)
	}
	raw, err := cbor.Marshal(command)
	if err != nil {
		panic("state: " + err.Error())
	}
	return EncodedCommand{Name: name, Body: raw}
}

// decodeCommand decodes a command of the log. It panics if it can't: skipping the
// command would make this replica's state differ from the others'.
func decodeCommand(encoded EncodedCommand) Command {
	create := commandConstructors[encoded.Name]
	if create == nil {
		panic("state: unknown command in the log: " + encoded.Name)
	}
	command := create()
	if err := cbor.Unmarshal(encoded.Body, command); err != nil {
		panic("state: unreadable command " + encoded.Name + ": " + err.Error())
	}
	return command
}

// ApplyEntry applies one entry of the log and returns the outcomes of its
// commands in order. It panics unless the entry is the one after the last that
// was applied.
func (s *Store) ApplyEntry(index uint64, data []byte) []Outcome {
	s.advanceIndex(index)
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		panic("state: unreadable entry: " + err.Error())
	}
	s.AdvanceClock(batch.Clock, batch.WallClock)
	outcomes := make([]Outcome, len(batch.Commands))
	for i, encoded := range batch.Commands {
		outcomes[i] = decodeCommand(encoded).Apply(s)
	}
	s.extendDigestChain(data, outcomes)
	return outcomes
}

// SkipEntry advances over an entry of the log that has no commands.
func (s *Store) SkipEntry(index uint64) {
	s.advanceIndex(index)
	s.extendDigestChain(nil, nil)
}

// advanceIndex moves the state on to an entry, which must be the next. It
// panics otherwise, since going on would answer from a state that no log
// explains: this daemon must not lead, answer or save it.
func (s *Store) advanceIndex(index uint64) {
	if index != s.AppliedIndex+1 {
		panic(fmt.Sprintf("state: entry %d does not follow the state, which has applied %d", index, s.AppliedIndex))
	}
	s.AppliedIndex = index
}
