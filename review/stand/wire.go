package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"text/template"
)

// wireFiles holds the names and the formats of the platform.
//
//go:embed wire
var wireFiles embed.FS

// names holds the names of the headers, calls and variables of the platform.
var names = readNames()

// formats holds the formats of the platform's messages and of its settings file.
var formats = template.Must(template.ParseFS(wireFiles, "wire/*.json", "wire/*.toml"))

type wireNames struct {
	RequestID, Deadline, Expected, NotRun, Stamp, Instance string
	Heartbeat, Replace, Get                                string
	NodeFile                                               string
}

func readNames() wireNames {
	var n wireNames
	text, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(text, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// fill returns a format with its fields filled in.
func fill(format string, fields any) []byte {
	var out bytes.Buffer
	if err := formats.ExecuteTemplate(&out, format, fields); err != nil {
		panic(err)
	}
	return out.Bytes()
}
