package main

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
)

var (
	packageLine = regexp.MustCompile(`^package ([\w.]+);$`)
	optionLine  = regexp.MustCompile(`^option go_package = "([^"]+)";$`)
	messageLine = regexp.MustCompile(`^message (\w+) \{$`)
	fieldLine   = regexp.MustCompile(`^(repeated )?(\w+) (\w+) = (\d+);$`)
)

// scalars maps the names of the supported scalar types to their descriptor types.
var scalars = map[string]descriptorpb.FieldDescriptorProto_Type{
	"bool":    descriptorpb.FieldDescriptorProto_TYPE_BOOL,
	"bytes":   descriptorpb.FieldDescriptorProto_TYPE_BYTES,
	"fixed64": descriptorpb.FieldDescriptorProto_TYPE_FIXED64,
	"float":   descriptorpb.FieldDescriptorProto_TYPE_FLOAT,
	"int64":   descriptorpb.FieldDescriptorProto_TYPE_INT64,
	"string":  descriptorpb.FieldDescriptorProto_TYPE_STRING,
	"uint32":  descriptorpb.FieldDescriptorProto_TYPE_UINT32,
	"uint64":  descriptorpb.FieldDescriptorProto_TYPE_UINT64,
}

// Field numbers of the descriptor messages that form the paths of source locations.
const (
	pathMessage = 4
	pathField   = 2
)

// parser builds a file descriptor line by line.
type parser struct {
	file *descriptorpb.FileDescriptorProto
	// current is the message whose fields are being read, or nil outside messages.
	current *descriptorpb.DescriptorProto
	// comments holds the comment lines that precede the next element.
	comments []string
}

// parse returns the descriptor of a proto file, or an error with the line number.
func parse(name, source string) (*descriptorpb.FileDescriptorProto, error) {
	parser := &parser{file: &descriptorpb.FileDescriptorProto{
		Name:           proto.String(name),
		Syntax:         proto.String("proto3"),
		Options:        &descriptorpb.FileOptions{},
		SourceCodeInfo: &descriptorpb.SourceCodeInfo{},
	}}
	for number, line := range strings.Split(source, "\n") {
		if err := parser.line(strings.TrimSpace(line)); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, number+1, err)
		}
	}
	return parser.file, nil
}

func (parser *parser) line(line string) error {
	if comment, ok := strings.CutPrefix(line, "//"); ok {
		parser.comments = append(parser.comments, comment)
		return nil
	}
	switch {
	case line == "" || line == `syntax = "proto3";`:
	case line == "}":
		parser.current = nil
	case packageLine.MatchString(line):
		parser.file.Package = proto.String(packageLine.FindStringSubmatch(line)[1])
	case optionLine.MatchString(line):
		parser.file.Options.GoPackage = proto.String(optionLine.FindStringSubmatch(line)[1])
	case messageLine.MatchString(line):
		parser.message(messageLine.FindStringSubmatch(line)[1])
	case fieldLine.MatchString(line) && parser.current != nil:
		return parser.field(fieldLine.FindStringSubmatch(line))
	default:
		return fmt.Errorf("cannot parse line %q", line)
	}
	return nil
}

func (parser *parser) message(name string) {
	parser.current = &descriptorpb.DescriptorProto{Name: proto.String(name)}
	parser.file.MessageType = append(parser.file.MessageType, parser.current)
	parser.comment(pathMessage, parser.lastMessage())
}

func (parser *parser) field(parts []string) error {
	number, err := strconv.ParseInt(parts[4], 10, 32)
	if err != nil {
		return err
	}
	field := &descriptorpb.FieldDescriptorProto{
		Name:   proto.String(parts[3]),
		Number: proto.Int32(int32(number)),
		Label:  descriptorpb.FieldDescriptorProto_LABEL_OPTIONAL.Enum(),
	}
	if parts[1] != "" {
		field.Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
	}
	if scalar, ok := scalars[parts[2]]; ok {
		field.Type = scalar.Enum()
	} else {
		field.Type = descriptorpb.FieldDescriptorProto_TYPE_MESSAGE.Enum()
		field.TypeName = proto.String("." + parser.file.GetPackage() + "." + parts[2])
	}
	parser.current.Field = append(parser.current.Field, field)
	parser.comment(pathMessage, parser.lastMessage(), pathField, int32(len(parser.current.Field)-1))
	return nil
}

func (parser *parser) lastMessage() int32 {
	return int32(len(parser.file.MessageType) - 1)
}

// comment attaches the pending comment lines to the element at the path.
func (parser *parser) comment(path ...int32) {
	if len(parser.comments) == 0 {
		return
	}
	location := &descriptorpb.SourceCodeInfo_Location{
		Path:            path,
		Span:            []int32{0, 0, 0},
		LeadingComments: proto.String(strings.Join(parser.comments, "\n") + "\n"),
	}
	parser.file.SourceCodeInfo.Location = append(parser.file.SourceCodeInfo.Location, location)
	parser.comments = nil
}
