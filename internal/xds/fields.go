package xds

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxWarnings limits the warnings about ignored fields of one resource.
const maxWarnings = 32

// fieldTable lists the fields of a message that are supported and the fields that are ignored with a warning. A resource
// that sets any other field is rejected.
type fieldTable struct {
	supported []string
	ignored   []string
}

// audit checks the fields that are set in a message. The path is the field path of the message, empty or with a trailing dot,
// and is the prefix of errors and warnings. Warnings are discarded if warnings is nil.
func (t fieldTable) audit(message proto.Message, path string, warnings *[]string) error {
	var errs []error
	reflected := message.ProtoReflect()
	reflected.Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		name := string(field.Name())
		switch {
		case slices.Contains(t.supported, name):
		case slices.Contains(t.ignored, name):
			if warnings != nil && len(*warnings) < maxWarnings {
				*warnings = append(*warnings, path+name+" is ignored")
			}
		default:
			errs = append(errs, fmt.Errorf("%s%s: not supported", path, name))
		}
		return true
	})
	if n := len(reflected.GetUnknown()); n > 0 && warnings != nil {
		*warnings = append(*warnings, fmt.Sprintf("%s%d bytes of unknown fields are ignored", path, n))
	}
	slices.SortFunc(errs, func(x, y error) int { return cmp.Compare(x.Error(), y.Error()) })
	return errors.Join(errs...)
}
