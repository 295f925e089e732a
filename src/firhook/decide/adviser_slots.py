"""Chooses the instance through which a request to the adviser is sent."""

from firhook.decide._adviser_slots import AdviserSlot, SlotPlan, choose_slot

__all__ = ["AdviserSlot", "SlotPlan", "choose_slot"]
