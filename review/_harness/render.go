package main

import (
	"encoding/json"
	"fmt"
	"strings"
)

// render fills a settings template of the deploy folder. It knows the placeholders that the templates
// use: values, paths with dots, and sections over lists with the separator {{,}}.
func render(text string, fields map[string]any) string {
	for {
		start := strings.Index(text, "{{#")
		if start < 0 {
			break
		}
		name := text[start+3 : start+strings.Index(text[start:], "}}")]
		openLen, end := len("{{#"+name+"}}"), "{{/"+name+"}}"
		stop := strings.Index(text, end)
		body := text[start+openLen : stop]
		var out strings.Builder
		list, _ := lookup(fields, name).([]string)
		for i, v := range list {
			sep := ","
			if i == len(list)-1 {
				sep = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", v, "{{,}}", sep).Replace(body))
		}
		text = text[:start] + out.String() + text[stop+len(end):]
	}
	for {
		start := strings.Index(text, "{{")
		if start < 0 {
			return text
		}
		stop := start + strings.Index(text[start:], "}}")
		text = text[:start] + value(lookup(fields, text[start+2:stop])) + text[stop+2:]
	}
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, part := range strings.Split(path, ".") {
		switch m := v.(type) {
		case map[string]any:
			v = m[part]
		case []int:
			var i int
			fmt.Sscan(part, &i)
			v = m[i]
		}
	}
	return v
}

func value(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case string:
		return v
	case bool, int:
		return fmt.Sprint(v)
	}
	data, _ := json.Marshal(v)
	return string(data)
}
