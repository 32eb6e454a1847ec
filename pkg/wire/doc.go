// Package wire holds the messages of the protocol between nodes and of the
// documents kept on the platform. All of it is generated from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
