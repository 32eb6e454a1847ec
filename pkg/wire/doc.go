// Package wire holds the messages that nodes exchange and the documents that the
// platform stores. Its code is generated from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
