package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"tealpond/internal/desire"
	"tealpond/internal/setting"
)

// addTools adds the commands that are no daemons.
func addTools(app *kingpin.Application, jobs map[string]func() int, out, bad io.Writer) {
	c := app.Command("check", "Check a settings file (TOML) or a desired state (JSON).")
	file := c.Arg("file", "The file.").Required().String()
	jobs[c.FullCommand()] = func() int {
		raw, err := os.ReadFile(*file)
		if err != nil {
			fmt.Fprintln(bad, "tealpond:", err)
			return exitFault
		}
		if len(raw) > 0 && raw[0] == '{' {
			if _, err = desire.Read(raw); err == nil {
				err = desire.Check(raw)
			}
		} else {
			_, err = setting.Parse(*file, raw)
		}
		if err != nil {
			fmt.Fprintln(bad, "tealpond:", err)
			return exitFault
		}
		fmt.Fprintln(out, "ok")
		return exitOK
	}
}
