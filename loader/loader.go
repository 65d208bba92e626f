// Package loader reads settings files in INI and checks every key in them
// before anything is started.
package loader

import (
	"errors"
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
// sections and whose sections' fields are keys; a section that is a map takes
// any key. It returns a *hemlocktally.SettingError for each unknown section or
// key and each bad value, joined.
func Load(path string, settings any) error {
	file, err := loadINI(path, path)
	if err != nil {
		return err
	}
	b := &binder{file: path, root: reflect.ValueOf(settings).Elem()}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		b.bindSection(section)
	}
	return errors.Join(b.bad...)
}

// loadINI reads a source, which is a path or a text; the name stands in errors.
func loadINI(name string, source any) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:             true, // Shadows show keys that stand twice.
		SpaceBeforeInlineComment: true,
	}, source)
	if err != nil {
		return nil, &hemlocktally.SettingError{File: name, Found: err.Error(), Allowed: "a readable file of [Section] lines and Key = value lines"}
	}
	return file, nil
}

// binder sets the fields of a struct from sections and gathers what is wrong.
type binder struct {
	file string
	root reflect.Value
	bad  []error
}

func (b *binder) bindSection(section *ini.Section) {
	field := b.root.FieldByName(section.Name())
	if !field.IsValid() {
		b.fail(section.Name(), "", section.Name(), "a section of "+fieldNames(b.root))
		return
	}
	for _, key := range section.Keys() {
		if values := key.ValueWithShadows(); len(values) > 1 {
			b.fail(section.Name(), key.Name(), strings.Join(values, " and "), "one value; the key stands twice")
			continue
		}
		b.bindKey(section.Name(), field, key)
	}
}

func (b *binder) bindKey(section string, field reflect.Value, key *ini.Key) {
	if field.Kind() == reflect.Map {
		if field.IsNil() {
			field.Set(reflect.MakeMap(field.Type()))
		}
		field.SetMapIndex(reflect.ValueOf(key.Name()), reflect.ValueOf(key.Value()))
		return
	}
	value := field.FieldByName(key.Name())
	if !value.IsValid() {
		b.fail(section, key.Name(), key.Name(), "a key of "+fieldNames(field))
		return
	}
	if err := setValue(value, key.Value()); err != nil {
		b.fail(section, key.Name(), key.Value(), err.Error())
	}
}

func (b *binder) fail(section, key, found, allowed string) {
	b.bad = append(b.bad, &hemlocktally.SettingError{File: b.file, Section: section, Key: key, Found: found, Allowed: allowed})
}

func fieldNames(v reflect.Value) string {
	if v.NumField() == 0 {
		return "none: the section has no keys"
	}
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
	override(&s.Keys.PeerAlso, "HEMLOCKTALLY_PEER_KEY_ALSO")
	override(&s.Keys.Operator, "HEMLOCKTALLY_OPERATOR_KEY")
	override(&s.Platform.Key, "HEMLOCKTALLY_PLATFORM_KEY")
}

func override(field *string, name string) {
	if value := os.Getenv(name); value != "" {
		*field = value
	}
}
