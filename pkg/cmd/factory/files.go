package factory

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/mustardramp/mustardramp/pkg/contract"
)

// ContractFile is a contract file with its contents.
type ContractFile struct {
	// Name is the path of the file.
	Name   string
	Source []byte
	// Contract is nil if the file has faults.
	Contract *contract.Contract
}

// ReadContracts reads contract files and returns them with every fault in them. A path
// of a folder stands for the .yaml and .yml files in it. The error is a Problem with
// the code ExitUsage and means that a path cannot be read.
func ReadContracts(paths []string) ([]ContractFile, contract.Faults, error) {
	names, err := expandPaths(paths)
	if err != nil {
		return nil, nil, err
	}
	files := make([]ContractFile, 0, len(names))
	var faults contract.Faults
	var valid []*contract.Contract
	var validNames []string
	for _, name := range names {
		source, err := os.ReadFile(name)
		if err != nil {
			return nil, nil, &Problem{ExitUsage, err.Error(), "name a readable file"}
		}
		c, err := contract.Parse(name, source)
		if err != nil {
			faults = append(faults, contract.FaultsOf(name, err)...)
		} else {
			valid = append(valid, c)
			validNames = append(validNames, name)
		}
		files = append(files, ContractFile{Name: name, Source: source, Contract: c})
	}
	return files, append(faults, contract.CheckSet(validNames, valid)...), nil
}

// expandPaths replaces the paths of folders with those of the contract files in them.
func expandPaths(paths []string) ([]string, error) {
	var names []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, &Problem{ExitUsage, err.Error(), "name a file or a folder of .yaml files"}
		}
		if !info.IsDir() {
			names = append(names, path)
			continue
		}
		inside, err := contractsIn(path)
		if err != nil {
			return nil, err
		}
		names = append(names, inside...)
	}
	return names, nil
}

// contractsIn returns the sorted paths of the contract files in a folder.
func contractsIn(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, &Problem{ExitUsage, err.Error(), "name a readable folder"}
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), ".yaml") || strings.HasSuffix(e.Name(), ".yml") {
			names = append(names, filepath.Join(folder, e.Name()))
		}
	}
	if len(names) == 0 {
		return nil, &Problem{ExitUsage, "folder " + folder + " holds no .yaml file", "name another folder"}
	}
	sort.Strings(names)
	return names, nil
}
