package event

import (
	"os"
	"regexp"
	"testing"
)

func TestReferenceIsCurrent(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(data) != Reference() {
		t.Error("docs/EVENTS.md is out of date; run 'make generate'")
	}
}

// TestEveryEventIsDescribed guards against an event that is added without a description,
// which docs/EVENTS.md would then lack.
func TestEveryEventIsDescribed(t *testing.T) {
	source, err := os.ReadFile("event.go")
	if err != nil {
		t.Fatal(err)
	}
	described := make(map[string]bool)
	for _, d := range All() {
		described[string(d.Name)] = true
	}
	for _, match := range regexp.MustCompile(`Name = "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		if !described[match[1]] {
			t.Errorf("%s is not described", match[1])
		}
	}
}
