// Package trial demonstrates a cluster on one machine: three servers, a daemon without a disk and
// three agents run as real processes on loopback addresses, each agent with a fake runner. The trial
// runs a job with a gang step, uses a lock and a key, and kills the leader while a job is running. It
// is meant for newcomers and starts no other program than this one.
package trial
