// Package loader reads settings files and contracts files in INI format and
// validates every key in them.
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

// Load reads the INI file at path into settings, a pointer to a struct. Each
// field of the struct is a section, and each field of a section is a key. A
// section of type map[string]string accepts any key. The returned error joins
// one *hemlocktally.SettingError for each unknown section or key, duplicate key
// and invalid value.
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
	return errors.Join(b.errs...)
}

// loadINI parses source, which is a path or the text itself as a []byte. The
// name is the file name in errors.
func loadINI(name string, source any) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		// AllowShadows keeps every value of a duplicate key, so that it can be
		// reported.
		AllowShadows:             true,
		SpaceBeforeInlineComment: true,
	}, source)
	if err != nil {
		return nil, &hemlocktally.SettingError{File: name, Found: err.Error(), Allowed: "a readable INI file of [Section] and Key = value lines"}
	}
	return file, nil
}

// binder sets the fields of a struct from INI sections and collects the errors.
type binder struct {
	file string
	root reflect.Value
	errs []error
}

func (b *binder) bindSection(section *ini.Section) {
	field := b.root.FieldByName(section.Name())
	if !field.IsValid() {
		b.addError(section.Name(), "", section.Name(), "a section of "+fieldNames(b.root))
		return
	}
	for _, key := range section.Keys() {
		if values := key.ValueWithShadows(); len(values) > 1 {
			b.addError(section.Name(), key.Name(), strings.Join(values, " and "), "one value; the key is defined more than once")
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
		b.addError(section, key.Name(), key.Name(), "a key of "+fieldNames(field))
		return
	}
	if key.Value() == "" {
		return // A template's field that the deployment lacks is empty; the key keeps its default.
	}
	if err := setValue(value, key.Value()); err != nil {
		b.addError(section, key.Name(), key.Value(), err.Error())
	}
}

func (b *binder) addError(section, key, found, allowed string) {
	b.errs = append(b.errs, &hemlocktally.SettingError{File: b.file, Section: section, Key: key, Found: found, Allowed: allowed})
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

// setValue parses the text into v. The text of its error is the description of
// the allowed values, for SettingError.Allowed.
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
		return fmt.Errorf("nothing: values of the key's type are not supported")
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

// ApplyEnvironment replaces the peer, operator and platform keys with the values
// of the HEMLOCKTALLY_* environment variables that are set and not empty.
func ApplyEnvironment(s *Settings) {
	setFromEnvironment(&s.Keys.Peer, "HEMLOCKTALLY_PEER_KEY")
	setFromEnvironment(&s.Keys.PeerAlso, "HEMLOCKTALLY_PEER_KEY_ALSO")
	setFromEnvironment(&s.Keys.Operator, "HEMLOCKTALLY_OPERATOR_KEY")
	setFromEnvironment(&s.Platform.Key, "HEMLOCKTALLY_PLATFORM_KEY")
}

func setFromEnvironment(field *string, name string) {
	if value := os.Getenv(name); value != "" {
		*field = value
	}
}
