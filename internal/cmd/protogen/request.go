package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/pluginpb"
)

// writeRequest parses the proto file and writes the request for the generator plugin.
func writeRequest(path string, to io.Writer) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := parse(filepath.Base(path), string(source))
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{}
	request.FileToGenerate = []string{file.GetName()}
	request.Parameter = proto.String("paths=source_relative")
	request.ProtoFile = append(request.ProtoFile, file)
	content, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	_, err = to.Write(content)
	return err
}

// writeFiles reads the response of the plugin and writes its files into the directory.
func writeFiles(from io.Reader, directory string) error {
	content, err := io.ReadAll(from)
	if err != nil {
		return err
	}
	response := &pluginpb.CodeGeneratorResponse{}
	if err := proto.Unmarshal(content, response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("generator: %s", response.GetError())
	}
	for _, file := range response.GetFile() {
		path := filepath.Join(directory, filepath.Base(file.GetName()))
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
