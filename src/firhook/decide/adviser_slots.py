"""Through which instance the adviser is asked."""

from firhook.decide._adviser_slots import AdviserSlot, SlotPlan, choose_slot

__all__ = ["AdviserSlot", "SlotPlan", "choose_slot"]
