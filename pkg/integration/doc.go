// Package integration tests the guarantees of the system with real processes
// whose connections run through fault-injecting proxies.
package integration
