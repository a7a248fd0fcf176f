package member

// SetRelease sets the release in force on this member, which its messages carry.
func (list *List) SetRelease(release int64) { list.release = release }

// NewestRelease returns the highest release that another member has reported, and that member.
func (list *List) NewestRelease() (release int64, from Member) {
	if entry, ok := list.entries[list.newestFrom]; ok {
		return list.releases[list.newestFrom], entry.Member
	}
	return 0, Member{}
}

// recordRelease records the release that a member reports to have in force.
func (list *List) recordRelease(name string, release int64) {
	if release <= list.releases[name] {
		return
	}
	list.releases[name] = release
	if release > list.releases[list.newestFrom] {
		list.newestFrom = name
	}
}

// ForgetRelease drops the release reported by a member that could not provide it, was restarted or has been removed.
func (list *List) ForgetRelease(name string) {
	delete(list.releases, name)
	if list.newestFrom != name {
		return
	}
	list.newestFrom = ""
	for other, release := range list.releases {
		if release > list.releases[list.newestFrom] {
			list.newestFrom = other
		}
	}
}

// AnnounceRelease returns messages that announce this member's release to some random members.
func (list *List) AnnounceRelease() []Outgoing {
	return list.sendToRandom(list.settings.Fanout, Announce)
}
