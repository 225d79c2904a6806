// Package site owns the operator's own file: HCL, a block a subsystem,
// strictly checked, each block absent unless it is written. It must never
// start anything or guess: what can't be used is an error with its file, line
// and column, and nothing of such a file holds.
package site

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"

	"foxlane/internal/admission"
	"foxlane/internal/files"
)

// maxFileBytes bounds a file: a larger one is no operator's.
const maxFileBytes = 4 << 20

// Config is what the operator has set. A subsystem without a block is nil and off.
type Config struct {
	Admission *Admission
	Spool     *Spool
	Zones     *Zones

	Members    *Members
	Directives *Directives
}

// Admission are the settings of the admission.
type Admission struct {
	Settings   admission.Settings
	StateBytes int64 // bytes that remember principals; 0: what follows from the machine
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

// Parse reads the text of a file; the name stands in errors.
func Parse(text []byte, name string) (*Config, error) {
	f, diags := hclparse.NewParser().ParseHCL(text, name)
	if diags.HasErrors() {
		return nil, newParseError(diags)
	}
	var d fileBlocks
	if diags = gohcl.DecodeBody(f.Body, nil, &d); diags.HasErrors() {
		return nil, newParseError(diags)
	}
	s := &Config{}
	if d.Admission != nil {
		fair, diags := d.Admission.decode()
		if diags.HasErrors() {
			return nil, newParseError(diags)
		}
		s.Admission = fair
	}
	if d.Spool != nil {
		sp, diags := d.Spool.decode()
		if diags.HasErrors() {
			return nil, newParseError(diags)
		}
		s.Spool = sp
	}
	if d.Zones != nil {
		sites, diags := d.Zones.decode()
		if diags.HasErrors() {
			return nil, newParseError(diags)
		}
		s.Zones = sites
	}
	if d.Members != nil {
		m, diags := d.Members.decode()
		if diags.HasErrors() {
			return nil, newParseError(diags)
		}
		s.Members = m
	}
	if d.Directives != nil {
		x, diags := d.Directives.decode(s.Members)
		if diags.HasErrors() {
			return nil, newParseError(diags)
		}
		s.Directives = x
	}
	return s, nil
}

// ParseError is all that is wrong with a file, a line each: place and cause.
type ParseError struct{ Lines []string }

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

// errorAt is an error about a place of the file.
func errorAt(at hcl.Range, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at}
}

// String says what holds, defaults included, as a file would.
func (s *Config) String() string {
	var b bytes.Buffer
	if s == nil || s.Admission == nil {
		b.WriteString("# fair: off\n")
	} else {
		s.Admission.write(&b)
	}
	if s == nil || s.Spool == nil {
		b.WriteString("# spool: off\n")
	} else {
		s.Spool.write(&b)
	}
	if s == nil || s.Zones == nil {
		b.WriteString("# sites: off\n")
	} else {
		s.Zones.write(&b)
	}
	if s == nil || s.Members == nil {
		b.WriteString("# members: off\n")
	} else {
		s.Members.write(&b)
	}
	if s == nil || s.Directives == nil {
		b.WriteString("# directives: off\n")
	} else {
		s.Directives.write(&b)
	}
	return b.String()
}
