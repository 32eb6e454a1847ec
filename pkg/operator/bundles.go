package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscusrock/hibiscusrock/pkg/bundle"
	"github.com/hibiscusrock/hibiscusrock/pkg/catalog"
	"github.com/hibiscusrock/hibiscusrock/pkg/config"
	"github.com/hibiscusrock/hibiscusrock/pkg/event"
	"github.com/hibiscusrock/hibiscusrock/pkg/fault"
	"github.com/hibiscusrock/hibiscusrock/pkg/keys"
)

func (cl *commandLine) keysCommand() *cli.Command {
	return &cli.Command{Name: "keys", Usage: "signing keys", Commands: []*cli.Command{{
		Name:      "generate",
		Usage:     "generate a signing key and print the public key for the nodes' settings",
		ArgsUsage: "FILE",
		Flags:     []cli.Flag{&cli.StringFlag{Name: "name", Usage: "name of the signer", Value: currentUser()}},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := oneArgument(c, "file")
			if err != nil {
				return err
			}
			key, err := keys.Generate(c.String("name"), nil)
			if err != nil {
				return err
			}
			if err := key.Save(path); err != nil {
				return err
			}
			text := fmt.Sprintf("signer %s\npublic %s\n", key.Name(), key.Public())
			return cl.print(map[string]string{"signer": key.Name(), "public": key.Public()}, text)
		},
	}}}
}

func (cl *commandLine) bundleCommand() *cli.Command {
	return &cli.Command{Name: "bundle", Usage: "bundles of routes and traffic shares", Commands: []*cli.Command{
		{Name: "check", Usage: "check a bundle file and list every fault", ArgsUsage: "FILE", Action: cl.checkBundle},
		{Name: "put", Usage: "store a bundle as a draft for signing", ArgsUsage: "FILE", Action: cl.putBundle, Flags: []cli.Flag{
			&cli.StringFlag{Name: "author", Usage: "name shown to other operators", Value: currentUser()},
		}},
		{Name: "sign", Usage: "add a signature to a draft", ArgsUsage: "DRAFT", Action: cl.signBundle, Flags: []cli.Flag{
			&cli.StringFlag{Name: "key", Usage: "file with the signing key", Required: true},
		}},
		{Name: "show", Usage: "print the bundle of a draft or release, or of the newest release", ArgsUsage: "[DRAFT|SEQUENCE]", Action: cl.showBundle},
		{Name: "list", Usage: "list drafts and releases", Action: cl.listBundles},
		{Name: "diff", Usage: "list the services that differ between two drafts or releases", ArgsUsage: "OLD NEW", Action: cl.diffBundles},
	}}
}

func readBundle(c *cli.Command) (*bundle.Bundle, error) {
	path, err := oneArgument(c, "file")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Wrap(err, fault.KindMissing, "cannot read the bundle", "give the path of an existing bundle file")
	}
	b, err := bundle.Parse(path, data)
	if err != nil {
		return nil, err
	}
	return b, b.Check()
}

func (cl *commandLine) checkBundle(_ context.Context, c *cli.Command) error {
	b, err := readBundle(c)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("bundle %s: %d services, %d routes, no faults\n", b.Name, len(b.Services), len(b.Routes))
	return cl.print(b, text)
}

// releaseView holds the fields of a draft or release that the commands print.
type releaseView struct {
	ID       string    `json:"id"`
	Sequence uint64    `json:"sequence"`
	Bundle   string    `json:"bundle"`
	Author   string    `json:"author"`
	Created  time.Time `json:"created"`
	Signers  []string  `json:"signers"`
	Changed  []string  `json:"changed"`
	Removed  []string  `json:"removed,omitempty"`
}

func newReleaseView(d *bundle.Document) releaseView {
	r := d.Release()
	v := releaseView{ID: d.ID(), Sequence: d.Sequence(), Bundle: r.GetBundleName(), Author: r.GetAuthor(), Created: time.UnixMilli(r.GetCreatedUnixMs()), Removed: r.GetRemoved()}
	for _, s := range d.Signed().GetSignatures() {
		v.Signers = append(v.Signers, s.GetSigner())
	}
	for _, entry := range r.GetChanged() {
		v.Changed = append(v.Changed, entry.GetName())
	}
	return v
}

func (v releaseView) line() string {
	return fmt.Sprintf("%5d  %s  %-20s by %-12s %s  signed by %s\n", v.Sequence, v.ID[:12], v.Bundle, v.Author, v.Created.Format(time.DateTime), strings.Join(v.Signers, ", "))
}

func (cl *commandLine) putBundle(ctx context.Context, c *cli.Command) error {
	b, err := readBundle(c)
	if err != nil {
		return err
	}
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	document, err := cat.Put(ctx, b, c.String("author"), time.Now())
	if err != nil {
		return err
	}
	v := newReleaseView(document)
	return cl.print(v, fmt.Sprintf("draft %s for release %d, changed services: %s\n", v.ID, v.Sequence, strings.Join(v.Changed, ", ")))
}

func (cl *commandLine) signBundle(ctx context.Context, c *cli.Command) error {
	id, err := oneArgument(c, "draft")
	if err != nil {
		return err
	}
	key, err := keys.Load(c.String("key"))
	if err != nil {
		return err
	}
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	document, err := cat.Sign(ctx, id, key)
	if err != nil {
		return err
	}
	v := newReleaseView(document)
	return cl.print(v, fmt.Sprintf("draft %s signed by %s\n", v.ID, strings.Join(v.Signers, ", ")))
}

// findDocument returns a release if name is a sequence, the newest release if it is
// empty, and else the draft with name as identifier.
func findDocument(ctx context.Context, cat *catalog.Catalog, name string) (*bundle.Document, error) {
	if name == "" {
		head, _, err := cat.Head(ctx)
		if err == nil && head == nil {
			err = fault.New(fault.KindMissing, "there is no release yet", "put, sign and roll out a bundle")
		}
		return head, err
	}
	var sequence uint64
	if _, err := fmt.Sscanf(name, "%d", &sequence); err == nil && fmt.Sprint(sequence) == name {
		return cat.Release(ctx, sequence)
	}
	return cat.Draft(ctx, name)
}

func (cl *commandLine) showBundle(ctx context.Context, c *cli.Command) error {
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	document, err := findDocument(ctx, cat, c.Args().First())
	if err != nil {
		return err
	}
	b, err := cat.Bundle(ctx, document)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return err
	}
	return cl.print(b, fmt.Sprintf("// release %d, %s\n%s\n", document.Sequence(), document.ID(), text))
}

func (cl *commandLine) listBundles(ctx context.Context, c *cli.Command) error {
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	releases, err := cat.Releases(ctx)
	if err != nil {
		return err
	}
	drafts, err := cat.Drafts(ctx)
	if err != nil {
		return err
	}
	list := struct {
		Releases []releaseView `json:"releases"`
		Drafts   []releaseView `json:"drafts"`
	}{}
	text := "releases\n"
	rolledOut := make(map[string]bool)
	for _, d := range releases {
		v := newReleaseView(d)
		rolledOut[v.ID] = true
		list.Releases = append(list.Releases, v)
		text += v.line()
	}
	text += "drafts\n"
	for _, d := range drafts {
		if v := newReleaseView(d); !rolledOut[v.ID] {
			list.Drafts = append(list.Drafts, v)
			text += v.line()
		}
	}
	return cl.print(list, text)
}

func (cl *commandLine) diffBundles(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return fault.New(fault.KindInvalid, fmt.Sprintf("%d arguments are given, two drafts or releases are needed", c.Args().Len()), "see 'hibiscusrock bundle list'")
	}
	cat, cleanUp := cl.catalogFor(c)
	defer cleanUp()
	var manifests [2]bundle.Manifest
	for i := range manifests {
		document, err := findDocument(ctx, cat, c.Args().Get(i))
		if err != nil {
			return err
		}
		if manifests[i], err = cat.Manifest(ctx, document); err != nil {
			return err
		}
	}
	differences := diff(manifests[0], manifests[1])
	text := ""
	for _, d := range differences {
		text += d.Change + " " + d.Service + "\n"
	}
	return cl.print(differences, text)
}

// difference is a service that was added, changed or removed between two releases.
type difference struct {
	Service string `json:"service"`
	Change  string `json:"change"`
}

func diff(before, after bundle.Manifest) []difference {
	var differences []difference
	for _, entry := range after.Entries() {
		hash, ok := before[entry.GetName()]
		switch {
		case !ok:
			differences = append(differences, difference{entry.GetName(), "added"})
		case !slices.Equal(hash, entry.GetHash()):
			differences = append(differences, difference{entry.GetName(), "changed"})
		}
	}
	for _, entry := range before.Entries() {
		if _, ok := after[entry.GetName()]; !ok {
			differences = append(differences, difference{entry.GetName(), "removed"})
		}
	}
	return differences
}

func (cl *commandLine) configCommand() *cli.Command {
	return &cli.Command{Name: "config", Usage: "settings of a node", Commands: []*cli.Command{
		{Name: "check", Usage: "check a settings file and list every fault", ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
			path, err := oneArgument(c, "file")
			if err != nil {
				return err
			}
			if _, err := config.Load(path); err != nil {
				return err
			}
			return cl.print(map[string]bool{"valid": true}, path+": no faults\n")
		}},
		{Name: "print", Usage: "print the settings in force, defaults included", ArgsUsage: "FILE", Action: func(_ context.Context, c *cli.Command) error {
			path, err := oneArgument(c, "file")
			if err != nil {
				return err
			}
			settings, err := config.Load(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(cl.out, settings.Print())
			return err
		}},
		{Name: "reference", Usage: "print the settings reference in Markdown", Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprint(cl.out, config.Reference())
			return err
		}},
		{Name: "events", Usage: "print the reference of log lines in Markdown", Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprint(cl.out, event.Reference())
			return err
		}},
	}}
}
