// Package trial shows a cluster at work on one machine: three servers, a daemon without a
// disk and three agents as real processes on loopback addresses, each agent beside a
// stand-in of a runner. A job with a gang runs through, a lock and a key are used, and the
// leader is killed in the middle. It is for newcomers, and starts nothing but this program.
package trial
