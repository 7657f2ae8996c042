// Package misuse holds tests with crowds of clients that keep to the limits of sizes, but not to the
// protocol's intent: they leave bodies unfinished, answers unread and connections open. Each test
// starts daemons as processes on loopback addresses with little memory and few descriptors. It checks
// that the process stays alive and within its limits, and that an ordinary request is answered while
// the crowd stays connected. The package has no code of the product.
package misuse
