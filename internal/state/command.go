package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Command is a change of the state. The leader proposes it, and each replica applies
// it in log order once it is committed. The state changes in no other way.
// Apply must be deterministic so that replicas stay equal: it depends only on the
// state and the command, never on a clock, a setting or the iteration order of a map.
type Command interface {
	Apply(s *Store) Outcome
}

// Names of commands in the log. They differ from the names of the Go types and must
// never change: logs of earlier versions and messages between daemons of different
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
	CommandRemoveUnused         = "forget"
	CommandLendCapacity         = "lend"
	CommandNextNumber           = "number"
	CommandOfferJob             = "offer"
	CommandPutKey               = "put"
	CommandRaiseFormat          = "format"
	CommandRegisterWorker       = "takeup"
	CommandReleaseJob           = "release"
	CommandReleaseLock          = "unlock"
	CommandRenewLock            = "relock"
	CommandReplaceConfiguration = "replace"
	CommandReportCompletions    = "ends"
	CommandReportEligibility    = "eligibility"
	CommandSetEligibility       = "eligible"
	CommandSetEpoch             = "mint"
	CommandSetLimits            = "limits"
	CommandResolveTransfer      = "settle"
	CommandStopRuns             = "halt"
	CommandSubmitJob            = "handin"
	CommandSubmitTenantJob      = "submit"
	CommandWithdrawOffer        = "void"
)

// commandConstructors returns an empty command to decode into, by command name.
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
	CommandRemoveUnused:         func() Command { return &RemoveUnused{} },
	CommandLendCapacity:         func() Command { return &LendCapacity{} },
	CommandNextNumber:           func() Command { return &NextNumber{} },
	CommandPutKey:               func() Command { return &PutKey{} },
	CommandOfferJob:             func() Command { return &OfferJob{} },
	CommandRaiseFormat:          func() Command { return &RaiseFormat{} },
	CommandRegisterWorker:       func() Command { return &RegisterWorker{} },
	CommandReleaseJob:           func() Command { return &ReleaseJob{} },
	CommandReleaseLock:          func() Command { return &ReleaseLock{} },
	CommandRenewLock:            func() Command { return &RenewLock{} },
	CommandReplaceConfiguration: func() Command { return &ReplaceConfiguration{} },
	CommandReportCompletions:    func() Command { return &ReportCompletions{} },
	CommandReportEligibility:    func() Command { return &ReportEligibility{} },
	CommandSetEligibility:       func() Command { return &SetEligibility{} },
	CommandSetEpoch:             func() Command { return &SetEpoch{} },
	CommandSetLimits:            func() Command { return &SetLimits{} },
	CommandResolveTransfer:      func() Command { return &ResolveTransfer{} },
	CommandStopRuns:             func() Command { return &StopRuns{} },
	CommandSubmitJob:            func() Command { return &SubmitJob{} },
	CommandSubmitTenantJob:      func() Command { return &SubmitTenantJob{} },
	CommandWithdrawOffer:        func() Command { return &WithdrawOffer{} },
}

// EncodedCommand is a command in its log encoding.
type EncodedCommand struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Body []byte
}

// Batch is the content of one log entry: commands that are applied in order, at the
// clock readings that the leader attached.
type Batch struct {
	_         struct{} `cbor:",toarray"`
	Clock     int64    // ms, the state clock as set by the leader
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

// decodeCommand decodes a command from the log. It panics if it cannot, since skipping
// the command would make this replica's state diverge from the others.
func decodeCommand(encoded EncodedCommand) Command {
	create := commandConstructors[encoded.Name]
	if create == nil {
		panic("state: unknown command in the log: " + encoded.Name)
	}
	command := create()
	if err := cbor.Unmarshal(encoded.Body, command); err != nil {
		panic("state: cannot decode command " + encoded.Name + ": " + err.Error())
	}
	return command
}

// ApplyEntry applies one log entry and returns the outcomes of its commands in order.
// It panics unless index directly follows the last applied index.
func (s *Store) ApplyEntry(index uint64, data []byte) []Outcome {
	s.advanceIndex(index)
	var batch Batch
	if err := cbor.Unmarshal(data, &batch); err != nil {
		panic("state: cannot decode log entry: " + err.Error())
	}
	s.AdvanceClock(batch.Clock, batch.WallClock)
	outcomes := make([]Outcome, len(batch.Commands))
	for i, encoded := range batch.Commands {
		outcomes[i] = decodeCommand(encoded).Apply(s)
	}
	s.extendDigestChain(data, outcomes)
	return outcomes
}

// SkipEntry advances past a log entry that has no commands. It panics like ApplyEntry.
func (s *Store) SkipEntry(index uint64) {
	s.advanceIndex(index)
	s.extendDigestChain(nil, nil)
}

// advanceIndex sets the applied index to that of the next entry. It panics if index is
// not the next one: the state would no longer be the result of any log, and this daemon
// must not lead, answer requests or save snapshots with it.
func (s *Store) advanceIndex(index uint64) {
	if index != s.AppliedIndex+1 {
		panic(fmt.Sprintf("state: cannot apply entry %d: the last applied entry is %d", index, s.AppliedIndex))
	}
	s.AppliedIndex = index
}
