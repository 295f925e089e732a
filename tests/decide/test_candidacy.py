"""Whether a weak instance stands for the lead."""

from firhook.decide.candidacy import PATIENCE_S, Candidacy


def test_weak_instance_stands_only_after_no_stronger_one_was_seen_for_a_while():
    """All strong instances are lost; one that only restarts is back sooner than
    a weak one should take its place, which would fall behind at once.
    """
    weak = Candidacy(0.5)
    weak.note_members([2.0, 0.5], 10.0)
    weak.note_members([0.5], 11.0)
    assert not weak.stands
    weak.note_members([], 11.0 + PATIENCE_S)
    assert weak.stands
    weak.note_members([2.0], 20.0)
    assert not weak.stands


def test_time_in_which_the_members_are_unknown_does_not_count():
    weak = Candidacy(0.5)
    weak.note_members([], 10.0)
    weak.note_silence()
    weak.note_members([], 10.0 + 2 * PATIENCE_S)
    assert not weak.stands


def test_instances_of_one_kind_do_not_wait_for_each_other():
    assert not Candidacy(1.0).stronger([0.9, 1.0, 1.3])
