// Package loader reads settings files in INI and checks every key in them
// before anything is started.
package loader

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"hemlocktally"
)

// Load reads the file into the settings, a pointer to a struct whose fields are
// sections and whose sections' fields are keys. It returns a
// *hemlocktally.SettingError for an unknown section or key and for a bad value.
func Load(path string, settings any) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:             false,
		SpaceBeforeInlineComment: true,
	}, path)
	if err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	b := binder{file: path, root: reflect.ValueOf(settings).Elem()}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if err := b.bindSection(section); err != nil {
			return err
		}
	}
	return nil
}

type binder struct {
	file string
	root reflect.Value
}

func (b binder) bindSection(section *ini.Section) error {
	field := b.root.FieldByName(section.Name())
	if !field.IsValid() {
		return b.fail(section.Name(), "", section.Name(), "a section of "+fieldNames(b.root))
	}
	for _, key := range section.Keys() {
		value := field.FieldByName(key.Name())
		if !value.IsValid() {
			return b.fail(section.Name(), key.Name(), key.Name(), "a key of "+fieldNames(field))
		}
		if err := setValue(value, key.Value()); err != nil {
			return b.fail(section.Name(), key.Name(), key.Value(), err.Error())
		}
	}
	return nil
}

func (b binder) fail(section, key, found, allowed string) error {
	return &hemlocktally.SettingError{File: b.file, Section: section, Key: key, Found: found, Allowed: allowed}
}

func fieldNames(v reflect.Value) string {
	names := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		names = append(names, v.Type().Field(i).Name)
	}
	return strings.Join(names, ", ")
}

// setValue parses the text into the field; its error says what is allowed.
func setValue(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			return fmt.Errorf("a duration such as 250ms")
		}
		v.SetInt(int64(d))
		return nil
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		x, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("true or false")
		}
		v.SetBool(x)
	case reflect.Int, reflect.Int64:
		x, err := strconv.ParseInt(text, 10, 64)
		if err != nil || x < 0 {
			return fmt.Errorf("a whole number of zero or more")
		}
		v.SetInt(x)
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x < 0 {
			return fmt.Errorf("a number of zero or more")
		}
		v.SetFloat(x)
	default:
		return fmt.Errorf("nothing: the key has a type that can't be set")
	}
	return nil
}

func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// ApplyEnvironment overrides the keys for secrets from environment variables.
func ApplyEnvironment(s *Settings) {
	override(&s.Keys.Peer, "HEMLOCKTALLY_PEER_KEY")
	override(&s.Keys.Operator, "HEMLOCKTALLY_OPERATOR_KEY")
	override(&s.Platform.Key, "HEMLOCKTALLY_PLATFORM_KEY")
}

func override(field *string, name string) {
	if value := os.Getenv(name); value != "" {
		*field = value
	}
}
