// Package site owns the operator's own file: HCL, with a block for each
// subsystem. It must never start anything or guess: what can't be used is an
// error with file, line and column, and nothing of such a file is used.
//
// Each block has a file with its settings, decoding and writing; attributes.go
// has the values that blocks share.
package site

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"foxlane/internal/admission"
	"foxlane/internal/files"
)

// maxFileBytes is more than any operator's file: a larger one is a mistake.
const maxFileBytes = 4 << 20

// Config is what the operator has set. A subsystem without a block is nil, and off.
type Config struct {
	Admission *Admission
	Spool     *Spool
	Zones     *Zones

	Members    *Members
	Directives *Directives
}

// Admission has the settings of admission control, from the block `fair`.
type Admission struct {
	Settings   admission.Settings
	StateBytes int64 // of state about principals; 0: it follows from the machine
}

type fileBlocks struct {
	Admission *admissionBlock `hcl:"fair,block"`
	Spool     *spoolBlock     `hcl:"spool,block"`
	Zones     *zonesBlock     `hcl:"sites,block"`

	Members    *membersBlock    `hcl:"members,block"`
	Directives *directivesBlock `hcl:"directives,block"`
}

// LoadFile reads the operator's file.
func LoadFile(path string) (*Config, error) {
	text, err := files.Read(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("site: %s holds %d bytes, %d at most", path, len(text), maxFileBytes)
	}
	return Parse(text, path)
}

// Parse reads the text of a file. The name is that of the file, for errors.
func Parse(text []byte, name string) (*Config, error) {
	f, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, newParseError(diags)
	}
	var blocks fileBlocks
	if diags = gohcl.DecodeBody(f.Body, nil, &blocks); diags.HasErrors() {
		return nil, newParseError(diags)
	}
	var r attributeReader
	c := &Config{
		Admission: decodeBlock(&r, blocks.Admission, (*admissionBlock).decode),
		Spool:     decodeBlock(&r, blocks.Spool, (*spoolBlock).decode),
		Zones:     decodeBlock(&r, blocks.Zones, (*zonesBlock).decode),
		Members:   decodeBlock(&r, blocks.Members, (*membersBlock).decode),
	}
	c.Directives = decodeBlock(&r, blocks.Directives, func(b *directivesBlock, r *attributeReader) *Directives {
		return b.decode(r, c.Members)
	})
	if r.failed() {
		return nil, newParseError(r.diags)
	}
	return c, nil
}

// decodeBlock decodes a block, or returns nil if the file does not have it. Only the errors of the first block that has
// any are reported, so a block is not decoded after an error in another.
func decodeBlock[B, T any](r *attributeReader, block *B, decode func(*B, *attributeReader) *T) *T {
	if block == nil || r.failed() {
		return nil
	}
	return decode(block, r)
}

// ParseError lists all errors of a file, a line each with place and cause.
type ParseError struct{ Lines []string }

// Error returns the lines.
func (p *ParseError) Error() string { return strings.Join(p.Lines, "\n") }

func newParseError(diags hcl.Diagnostics) error {
	p := &ParseError{}
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		text := d.Summary
		if d.Detail != "" {
			text += ": " + strings.Join(strings.Fields(d.Detail), " ")
		}
		if d.Subject != nil {
			text = fmt.Sprintf("%s:%d:%d: %s", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column, text)
		}
		p.Lines = append(p.Lines, text)
	}
	return p
}

// String returns the configuration in the form of a file, defaults included.
func (c *Config) String() string {
	if c == nil {
		c = &Config{}
	}
	var b bytes.Buffer
	for _, block := range []struct {
		name  string
		set   bool
		write func(*bytes.Buffer)
	}{
		{"fair", c.Admission != nil, c.Admission.write},
		{"spool", c.Spool != nil, c.Spool.write},
		{"sites", c.Zones != nil, c.Zones.write},
		{"members", c.Members != nil, c.Members.write},
		{"directives", c.Directives != nil, c.Directives.write},
	} {
		if block.set {
			block.write(&b)
		} else {
			fmt.Fprintf(&b, "# %s: off\n", block.name)
		}
	}
	return b.String()
}

// quoteList writes texts as the elements of a list.
func quoteList(texts []string) string {
	quoted := make([]string, len(texts))
	for i, t := range texts {
		quoted[i] = strconv.Quote(t)
	}
	return strings.Join(quoted, ", ")
}
