package command

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// ApplyRequest is a declaration file to apply.
type ApplyRequest struct {
	Operator string
	// File is the file's name, for the audit trail and faults.
	File string
	Data []byte
	// Seen is the revision of the difference that the operator saw; 0 means the
	// present one of this instance.
	Seen config.Revision
	// First is true when the operator saw that there was no configuration.
	First bool
	// ID is the change's identity if the operator's program generated one.
	ID string
	// DryRun returns the difference and changes nothing.
	DryRun bool
	// Force accepts a dangerous change.
	Force bool
}

// Difference is the result of an apply or its dry run.
type Difference struct {
	Reply
	// Revision is the one with which the file was compared. The apply after a dry
	// run passes it as Seen.
	Revision config.Revision
}

// Apply changes the configuration by the differences between the file and the
// revision that the operator saw. The text of a dry run has a line for each
// difference, since files are applied at a computer; every other reply fits a
// phone's screen.
//
// On a deployment without configuration it makes revision 1, and the operator must
// be one of the file itself. The caller of Apply checks keys (see VerifyKey).
func (e *Executor) Apply(ctx context.Context, request ApplyRequest) Difference {
	target, err := config.Load(request.File, request.Data)
	if err != nil {
		return Difference{Reply: Reply{Verdict: Refused, Text: err.Error()}}
	}
	before, seen, err := e.seen(request)
	if err != nil {
		return Difference{Reply: refuse(err)}
	}
	ops := config.Diff(before, target)
	if len(ops) == 0 {
		return Difference{Reply: reply(OK, fmt.Sprintf("no difference to %d", seen)), Revision: seen}
	}
	if request.DryRun {
		return Difference{Reply: difference(before, target, ops, seen), Revision: seen}
	}
	line := "apply " + filepath.Base(request.File)
	proposal := config.Proposal{
		ID:       request.ID,
		Operator: request.Operator,
		Line:     line,
		Seen:     seen,
		Build:    config.Fixed(ops),
		Force:    request.Force,
	}
	return Difference{Reply: e.propose(ctx, proposal), Revision: seen}
}

// seen returns the declaration that the operator saw, or an empty one when there is
// no configuration yet.
func (e *Executor) seen(request ApplyRequest) (*config.Declaration, config.Revision, error) {
	head := e.Board.Config.Load()
	if head == nil || head.Revision == 0 {
		return new(config.Declaration), 0, nil
	}
	if request.Seen == 0 && !request.First {
		return head.Declaration, head.Revision, nil
	}
	decl, ok := head.At(request.Seen)
	if !ok || request.First {
		return nil, 0, &config.StaleError{Seen: request.Seen, Now: head.Revision}
	}
	return decl, request.Seen, nil
}

// difference formats the effect of applying.
func difference(before, target *config.Declaration, ops []config.Op, seen config.Revision) Reply {
	lines := []string{fmt.Sprintf("difference to %d:", seen)}
	lines = append(lines, config.Describe(before, ops)...)
	for _, danger := range config.Dangers(before, target) {
		lines = append(lines, "! "+danger.String())
	}
	return Reply{Verdict: OK, Text: strings.Join(lines, "\n")}
}

// VerifyKey reports whether the key is the operator's, in constant time. It uses
// the configuration in force here, or the file itself when there is none and the
// file makes revision 1.
func (e *Executor) VerifyKey(operator, key string, file []byte) bool {
	head := e.Board.Config.Load()
	if head != nil && head.Revision > 0 {
		return config.Authenticate(head.Declaration, operator, key)
	}
	decl, err := config.Load("declaration", file)
	if err != nil {
		return false
	}
	return config.Authenticate(decl, operator, key)
}
