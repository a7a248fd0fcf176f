package upgrade

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Landed lists the builds that may run beside this one, oldest first.
var Landed = []string{"0b73695", "3db0f72", "0fcc62c", "e92619e", "64bd6d7"}

// repeatingBuild is the landed build whose VMs send a forwarded request that is not idempotent to a second target when a relay of the same build reports
// that the first takes long (docs/design/builds.md).
const repeatingBuild = "e92619e"

// repeatsForwarded reports whether a program is that of repeatingBuild.
func repeatsForwarded(program string) bool { return program == programName(repeatingBuild) }

// programName returns the name of the program of a commit.
func programName(commit string) string { return "poplarpind-" + commit }

// Source is the source of a commit in a folder of its own.
type Source struct {
	Folder     string
	repository string
	commit     string
}

// Checkout checks a commit of a repository's history out into a new folder.
func Checkout(repository, commit, folder string) (*Source, error) {
	if output, err := git(repository, "rev-parse", "--quiet", "--verify", commit+"^{commit}"); err != nil {
		return nil, &Error{"checkout", UnknownCommit, commit + " is not in the history of this repository; a shallow clone has only part of it" + output}
	}
	source := &Source{Folder: filepath.Join(folder, "source-"+commit), repository: repository, commit: commit}
	if output, err := git(repository, "worktree", "add", "--detach", "--force", source.Folder, commit); err != nil {
		return nil, &Error{"checkout", BuildFailed, output}
	}
	return source, nil
}

// Remove removes the folder.
func (source *Source) Remove() {
	_ = os.RemoveAll(source.Folder)
	_, _ = git(source.repository, "worktree", "prune")
}

// Go runs the go command in a module of the source and returns its output.
func (source *Source) Go(module string, arguments ...string) (string, error) {
	command := exec.Command("go", arguments...)
	command.Dir = filepath.Join(source.Folder, module)
	output, err := command.CombinedOutput()
	if err != nil {
		return "", &Error{"go " + arguments[0], BuildFailed, strings.TrimSpace(string(output))}
	}
	return string(output), nil
}

// Program builds poplarpind beside the source and returns the path of the program.
func (source *Source) Program() (string, error) {
	program := filepath.Join(filepath.Dir(source.Folder), programName(source.commit))
	_, err := source.Go("poplarpind", "build", "-buildvcs=false", "-ldflags", "-X main.version="+source.commit, "-o", program, ".")
	return program, err
}

// Build builds poplarpind at a commit in a folder and returns the path of the program.
func Build(repository, commit, folder string) (string, error) {
	source, err := Checkout(repository, commit, folder)
	if err != nil {
		return "", err
	}
	defer source.Remove()
	return source.Program()
}

func git(repository string, arguments ...string) (string, error) {
	output, err := exec.Command("git", append([]string{"-C", repository}, arguments...)...).CombinedOutput()
	return strings.TrimSpace(string(output)), err
}
