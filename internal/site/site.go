// Package site reads the operator's own file: HCL, with one block per
// subsystem. It starts nothing and guesses nothing: an invalid value is an error
// with file, line and column, and a file with an error is rejected as a whole.
//
// Each block has a Go file with its settings, decoding and writing;
// attributes.go reads the types of values that several blocks use.
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

// maxFileBytes bounds the size of the operator's file. Real files are far smaller: a larger one is a mistake.
const maxFileBytes = 4 << 20

// Config holds the operator's settings. A subsystem without a block is nil, and disabled.
type Config struct {
	Admission *Admission
	Spool     *Spool
	Zones     *Zones

	Members    *Members
	Directives *Directives
}

// Admission holds the settings of admission control, the block `fair`.
type Admission struct {
	Settings   admission.Settings
	StateBytes int64 // bound of the state about principals; 0: derived from the machine's memory
}

type fileBlocks struct {
	Admission *admissionBlock `hcl:"fair,block"`
	Spool     *spoolBlock     `hcl:"spool,block"`
	Zones     *zonesBlock     `hcl:"sites,block"`

	Members    *membersBlock    `hcl:"members,block"`
	Directives *directivesBlock `hcl:"directives,block"`
}

// LoadFile reads the operator's file at path, of at most 4 MB.
func LoadFile(path string) (*Config, error) {
	text, err := files.Read(path)
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("site: %s has %d bytes, at most %d are allowed", path, len(text), maxFileBytes)
	}
	return Parse(text, path)
}

// Parse decodes the text of an operator's file. It uses name, the file's name, in errors.
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

// decodeBlock decodes a block, or returns nil if the file lacks it. It decodes nothing after an error in an earlier
// block, so only the errors of the first invalid block are reported.
func decodeBlock[B, T any](r *attributeReader, block *B, decode func(*B, *attributeReader) *T) *T {
	if block == nil || r.failed() {
		return nil
	}
	return decode(block, r)
}

// ParseError lists the errors of a file, one line each with position and cause.
type ParseError struct{ Lines []string }

// Error returns the lines, separated by newlines.
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

// String returns the configuration as a file that Parse accepts, with all defaults written out.
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

// quoteList formats texts as the elements of an HCL list.
func quoteList(texts []string) string {
	quoted := make([]string, len(texts))
	for i, t := range texts {
		quoted[i] = strconv.Quote(t)
	}
	return strings.Join(quoted, ", ")
}
