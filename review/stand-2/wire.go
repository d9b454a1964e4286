package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// wireFiles holds the names and messages of the platform, which are data rather than code.
//
//go:embed wire
var wireFiles embed.FS

// names maps the keys of wire/names.json to names on the wire.
var names = readNames()

var templates = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))

func readNames() map[string]string {
	text, err := wireFiles.ReadFile("wire/names.json")
	if err != nil {
		panic(err)
	}
	var m map[string]string
	if err := json.Unmarshal(text, &m); err != nil {
		panic(err)
	}
	return m
}

// render fills in a template.
func render(name string, data any) []byte {
	var out bytes.Buffer
	if err := templates.ExecuteTemplate(&out, name, data); err != nil {
		panic(err)
	}
	return out.Bytes()
}
