// Package integration proves the promises of the system with real processes
// behind fault proxies: one scenario in each test file.
package integration
