package schema_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"cuminlift/schema"
)

// fileName is the file of the messages between instances and of the rows that they keep in the store.
const fileName = "gateway.proto"

// earlierBuilds returns the schemas of builds whose instances may run beside those of this one, by commit.
func earlierBuilds(c *qt.C) map[string]protoreflect.FileDescriptor {
	paths, err := filepath.Glob("../testdata/builds/*/schema.binpb")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.Not(qt.HasLen), 0)
	builds := map[string]protoreflect.FileDescriptor{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		set := &descriptorpb.FileDescriptorSet{}
		c.Assert(proto.Unmarshal(data, set), qt.IsNil)
		files, err := protodesc.NewFiles(set)
		c.Assert(err, qt.IsNil)
		file, err := files.FindFileByPath(fileName)
		c.Assert(err, qt.IsNil)
		builds[filepath.Base(filepath.Dir(path))] = file
	}
	return builds
}

// TestFieldsOfEarlierBuildsAreUnchanged guards against a field, enum value or kind of frame that an instance of an earlier build reads
// as something else.
func TestFieldsOfEarlierBuildsAreUnchanged(t *testing.T) {
	c := qt.New(t)
	for build, file := range earlierBuilds(c) {
		c.Check(incompatibilities(file, schema.File_gateway_proto), qt.HasLen, 0, qt.Commentf("build %s", build))
	}
}

// TestIncompatibilitiesAreFound guards against a comparison that accepts any change.
func TestIncompatibilitiesAreFound(t *testing.T) {
	c := qt.New(t)
	for _, change := range []func(beat *descriptorpb.FieldDescriptorProto){
		func(beat *descriptorpb.FieldDescriptorProto) { beat.Name = proto.String("period") },
		func(beat *descriptorpb.FieldDescriptorProto) { beat.Number = proto.Int32(77) },
		func(beat *descriptorpb.FieldDescriptorProto) {
			beat.Type = descriptorpb.FieldDescriptorProto_TYPE_STRING.Enum()
		},
		func(beat *descriptorpb.FieldDescriptorProto) {
			beat.Label = descriptorpb.FieldDescriptorProto_LABEL_REPEATED.Enum()
		},
	} {
		file := protodesc.ToFileDescriptorProto(schema.File_gateway_proto)
		for _, message := range file.GetMessageType() {
			if message.GetName() == "Beat" {
				change(message.GetField()[2])
			}
		}
		changed, err := protodesc.NewFile(file, protoregistry.GlobalFiles)
		c.Assert(err, qt.IsNil)
		c.Check(incompatibilities(schema.File_gateway_proto, changed), qt.Not(qt.HasLen), 0)
	}
}

// incompatibilities returns what a reader of the earlier file reads differently in messages of the later one.
func incompatibilities(earlier, later protoreflect.FileDescriptor) []string {
	var found []string
	for i := range earlier.Messages().Len() {
		before := earlier.Messages().Get(i)
		after := later.Messages().ByName(before.Name())
		if after == nil {
			found = append(found, fmt.Sprintf("message %s is gone", before.Name()))
			continue
		}
		for j := range before.Fields().Len() {
			a := before.Fields().Get(j)
			b := after.Fields().ByNumber(a.Number())
			if b == nil || a.Name() != b.Name() || a.Kind() != b.Kind() || a.Cardinality() != b.Cardinality() || oneofName(a) != oneofName(b) {
				found = append(found, fmt.Sprintf("field %s has changed", a.FullName()))
			}
		}
	}
	for i := range earlier.Enums().Len() {
		before := earlier.Enums().Get(i)
		after := later.Enums().ByName(before.Name())
		for j := range before.Values().Len() {
			value := before.Values().Get(j)
			if after == nil || after.Values().ByNumber(value.Number()) == nil || after.Values().ByNumber(value.Number()).Name() != value.Name() {
				found = append(found, fmt.Sprintf("enum value %s has changed", value.FullName()))
			}
		}
	}
	return found
}

func oneofName(field protoreflect.FieldDescriptor) protoreflect.Name {
	if oneof := field.ContainingOneof(); oneof != nil {
		return oneof.Name()
	}
	return ""
}

// TestMessagesPassBetweenBuilds guards against messages and rows of one build that the other can't decode, or from which it loses what
// both know.
func TestMessagesPassBetweenBuilds(t *testing.T) {
	c := qt.New(t)
	for build, file := range earlierBuilds(c) {
		for i := range file.Messages().Len() {
			earlier := file.Messages().Get(i)
			later := schema.File_gateway_proto.Messages().ByName(earlier.Name())
			for _, direction := range [][2]protoreflect.MessageDescriptor{{earlier, later}, {later, earlier}} {
				comment := qt.Commentf("build %s, message %s", build, earlier.Name())
				sent := dynamicpb.NewMessage(direction[0])
				fill(sent, 0)
				data, err := proto.Marshal(sent)
				c.Assert(err, qt.IsNil, comment)
				received := dynamicpb.NewMessage(direction[1])
				c.Assert(proto.Unmarshal(data, received), qt.IsNil, comment)
				// What was not known is passed on unchanged.
				again, err := proto.Marshal(received)
				c.Assert(err, qt.IsNil, comment)
				back := dynamicpb.NewMessage(direction[0])
				c.Assert(proto.Unmarshal(again, back), qt.IsNil, comment)
				c.Check(proto.Equal(sent, back), qt.IsTrue, comment)
			}
		}
	}
}

// maxDepth bounds the nesting of filled messages.
const maxDepth = 4

// fill sets every field of a message, of a oneof the last.
func fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		value, ok := sample(message, field, depth)
		if !ok {
			continue
		}
		if field.IsList() {
			list := message.Mutable(field).List()
			list.Append(value)
			list.Append(value)
			continue
		}
		message.Set(field, value)
	}
}

func sample(message protoreflect.Message, field protoreflect.FieldDescriptor, depth int) (protoreflect.Value, bool) {
	number := uint64(field.Number()) * 1000003
	switch field.Kind() {
	case protoreflect.MessageKind:
		if depth == maxDepth {
			return protoreflect.Value{}, false
		}
		var nested protoreflect.Message
		if field.IsList() {
			nested = message.NewField(field).List().NewElement().Message()
		} else {
			nested = message.NewField(field).Message()
		}
		fill(nested, depth+1)
		return protoreflect.ValueOfMessage(nested), true
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(field.Name())), true
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(field.Name())), true
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true), true
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(values.Get(values.Len() - 1).Number()), true
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) / 8), true
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(-int64(number)), true
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number)), true
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(number << 20), true
	}
	panic(fmt.Sprintf("field %s has a kind without a sample: add one", field.FullName()))
}
