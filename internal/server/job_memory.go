package server

import (
	"time"

	"tealpond/internal/protocol"
	"tealpond/internal/rpc"
	"tealpond/internal/state"
)

const (
	// jobMemoryFraction is the fraction of limits.memoryMb that the jobs of the replicated state may
	// occupy.
	jobMemoryFraction = 0.25
	// maxJobShare is the fraction of what is left of it that one job may take, so that a few large jobs
	// leave room for small ones.
	maxJobShare = 0.5
	// jobMemoryRetryAfter is when a client may submit a job again for which there is no memory now.
	jobMemoryRetryAfter = time.Second
)

// responseJobTooLarge refuses a job that would not fit beside no other.
var responseJobTooLarge = rpc.Response{Code: rpc.CodeTooLarge, Text: "the job has more tasks than can be kept"}

// responseJobMemory refuses a job for which there is no memory at the moment.
var responseJobMemory = rpc.Response{
	Code: rpc.CodeTooManyRequests, Text: "more jobs than can be kept", RetryAfterMs: jobMemoryRetryAfter.Milliseconds(),
}

// refusalForMemory returns the response to a job for which this server has no memory, and whether it is
// refused. Without a limit of memory none is. The leader decides before the job is in the log, since every replica must then hold it.
func (r *Replica) refusalForMemory(job *protocol.Job) (rpc.Response, bool) {
	const bytesPerMB = 1 << 20
	limit := jobMemoryFraction * float64(r.settings.Limits.MemoryMB) * bytesPerMB
	bytes := r.estimatedJobBytes(job)
	switch left := limit - r.state.JobBytes() - r.submittingBytes; {
	case limit <= 0:
		return rpc.Response{}, false
	case bytes > limit*maxJobShare:
		return responseJobTooLarge, true
	case bytes > left*maxJobShare:
		return responseJobMemory, true
	}
	return rpc.Response{}, false
}

// estimatedJobBytes estimates the memory of a submitted job.
func (r *Replica) estimatedJobBytes(job *protocol.Job) float64 {
	return state.EstimatedBytes(job, r.state.WallClock)
}
