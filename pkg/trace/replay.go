package trace

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/common"
	"github.com/hibiscusrock/hibiscusrock/pkg/distribution"
	"github.com/hibiscusrock/hibiscusrock/pkg/gossip"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
	"github.com/hibiscusrock/hibiscusrock/pkg/quarantine"
	"github.com/hibiscusrock/hibiscusrock/pkg/rollout"
	"github.com/hibiscusrock/hibiscusrock/pkg/wire"
)

// Replay feeds a trace to the decision code. It returns a description of what
// happened, and an error when that differs from the outcome that the trace expects
// or the trace cannot be read.
func Replay(r io.Reader) (string, error) {
	lines, err := Read(r)
	if err != nil {
		return "", err
	}
	switch lines[0].Kind {
	case KindMove:
		return replayMove(lines)
	case KindCrash:
		return replayCrashes(lines)
	case KindReleases:
		return replayReleases(lines)
	}
	return "", fmt.Errorf("unknown kind of trace %q", lines[0].Kind)
}

// replayedMove is the state of the replay of one move. maxPermille is the largest
// share that the new version had so far.
type replayedMove struct {
	evaluator   *rollout.Evaluator
	move        *wire.Move
	halt        *wire.Halt
	began       time.Time
	ended       time.Time
	maxPermille int
}

func replayMove(lines []Line) (string, error) {
	m := &replayedMove{move: lines[0].Move, evaluator: rollout.NewEvaluator(lines[0].Move)}
	for _, line := range lines {
		if line.Step != nil {
			m.step(line.Step)
		}
	}
	return m.compare(lines[len(lines)-1].Outcome)
}

func (m *replayedMove) step(s *Step) {
	if m.began.IsZero() {
		m.began = s.At()
	}
	m.evaluator.Observe(s.At(), s.Evidence)
	finding, _ := m.evaluator.Step(rollout.StepInput{Now: s.At(), NewServers: s.NewServers, OldServers: s.OldServers, Halt: m.halt})
	if finding != nil {
		m.halt = finding.Halt(m.move, "", s.At())
	}
	state := m.evaluator.State()
	m.maxPermille = max(m.maxPermille, state.Permille)
	if m.ended.IsZero() && state.Phase != wire.MoveState_MOVE_STATE_MOVING {
		m.ended = s.At()
	}
}

func (m *replayedMove) compare(want *Outcome) (string, error) {
	state := m.evaluator.State()
	got := Outcome{State: rollout.PhaseName(state.Phase), Cause: m.halt.GetCause(), Route: m.halt.GetRoute()}
	text := fmt.Sprintf("%s, largest share %d permille: %s", got.State, m.maxPermille, state.Note)
	took := m.ended.Sub(m.began).Milliseconds()
	switch {
	case got.State != want.State:
		return text, fmt.Errorf("the move is %s, want %s", got.State, want.State)
	case want.Cause != "" && got.Cause != want.Cause:
		return text, fmt.Errorf("rolled back for %q, want %q", got.Cause, want.Cause)
	case want.Route != "" && got.Route != want.Route:
		return text, fmt.Errorf("rolled back on %q, want %q", got.Route, want.Route)
	case want.WithinMS > 0 && took > want.WithinMS:
		return text, fmt.Errorf("the move ended after %d ms, want at most %d", took, want.WithinMS)
	case want.MaxPermille > 0 && m.maxPermille > want.MaxPermille:
		return text, fmt.Errorf("the share reached %d permille, want at most %d", m.maxPermille, want.MaxPermille)
	}
	return text, nil
}

func replayCrashes(lines []Line) (string, error) {
	trackers := newTrackers(lines)
	sent, refused := 0, 0
	for i, line := range lines {
		c := line.Crash
		if c == nil {
			continue
		}
		tracker := trackers[c.Node]
		switch c.Event {
		case "crashed":
			tracker.RecordCrash(c.Incarnation, "trace", []quarantine.Suspect{{Fingerprint: c.Fingerprint}})
		case "succeeded":
			tracker.RecordSurvival(c.Fingerprint, tracker.Marks(c.Fingerprint))
		case "sent":
			sent++
			got := tracker.Blocked(c.Fingerprint) > 0
			if got {
				refused++
			}
			if got != c.Refused {
				return "", fmt.Errorf("line %d: request %s refused is %v, want %v", i+1, c.Fingerprint, got, c.Refused)
			}
		}
	}
	return fmt.Sprintf("%d of %d requests refused", refused, sent), nil
}

// newTrackers returns a crash tracker for each node of a trace. All share one gossip
// store, so that each node knows the crashes on the others at once.
func newTrackers(lines []Line) map[string]*quarantine.CrashTracker {
	store := gossip.New()
	trackers := make(map[string]*quarantine.CrashTracker)
	for _, line := range lines {
		if line.Crash != nil && trackers[line.Crash.Node] == nil {
			trackers[line.Crash.Node] = quarantine.NewCrashTracker(common.New(), store, line.Crash.Node, func() uint64 { return 1 })
		}
	}
	return trackers
}

func replayReleases(lines []Line) (string, error) {
	h, history, err := newHistory(lines)
	if err != nil {
		return "", err
	}
	for i, line := range lines {
		if line.Offer == nil {
			continue
		}
		signed := history.documents[line.Offer.Sequence-1].Signed()
		if line.Offer.Altered {
			signed = &wire.SignedRelease{Body: append([]byte{}, signed.GetBody()...), Signatures: nil}
		}
		_ = h.Offer(context.Background(), signed, history.source())
		if got := h.Table().Sequence(); got != line.Offer.InForce {
			return "", fmt.Errorf("line %d: release %d is in force after %d was offered, want %d", i+1, got, line.Offer.Sequence, line.Offer.InForce)
		}
	}
	return fmt.Sprintf("release %d is in force", h.Table().Sequence()), nil
}

// history is a generated chain of signed releases, as long as a trace needs.
type history struct {
	documents []*bundle.Document
	manifests []bundle.Manifest
	parts     map[string][]byte
}

// newHistory returns the releases that a trace offers and a holder that verifies
// them.
func newHistory(lines []Line) (*distribution.Holder, *history, error) {
	key, err := keys.Generate("trace", nil)
	if err != nil {
		return nil, nil, err
	}
	ring, err := keys.NewRing(map[string]string{"trace": key.Public()}, 1)
	if err != nil {
		return nil, nil, err
	}
	hist := &history{parts: make(map[string][]byte)}
	for _, line := range lines {
		for line.Offer != nil && uint64(len(hist.documents)) < line.Offer.Sequence {
			if err := hist.add(key); err != nil {
				return nil, nil, err
			}
		}
	}
	h := distribution.New(common.New(), ring)
	h.Start(0)
	return h, hist, nil
}

func (hist *history) add(key *keys.Key) error {
	n := len(hist.documents)
	b := &bundle.Bundle{
		Name:        fmt.Sprintf("release-%d", n+1),
		DataCentres: []string{"plateau"},
		Services:    map[string]bundle.Service{"quote": {SharePercent: map[string]int{fmt.Sprintf("v%d", n+1): 100}, QueueLength: 1, RetryPercent: 1}},
	}
	var parent *bundle.Document
	var manifest bundle.Manifest
	if n > 0 {
		parent, manifest = hist.documents[n-1], hist.manifests[n-1]
	}
	draft, err := bundle.NewDraft(b, parent, manifest, "trace", time.Now())
	if err != nil {
		return err
	}
	draft.Document().Sign(key)
	hist.documents = append(hist.documents, draft.Document())
	hist.manifests = append(hist.manifests, draft.Manifest())
	for id, data := range draft.Parts() {
		hist.parts[id] = data
	}
	return nil
}

func (hist *history) source() distribution.Source {
	return distribution.Source{
		Release: func(_ context.Context, sequence uint64) (*wire.SignedRelease, error) {
			return hist.documents[sequence-1].Signed(), nil
		},
		Manifest: func(_ context.Context, d *bundle.Document) (bundle.Manifest, error) {
			return hist.manifests[d.Sequence()-1], nil
		},
		Parts: func(_ context.Context, hashes [][]byte) ([][]byte, error) {
			parts := make([][]byte, len(hashes))
			for i, hash := range hashes {
				parts[i] = hist.parts[hex.EncodeToString(hash)]
			}
			return parts, nil
		},
	}
}
