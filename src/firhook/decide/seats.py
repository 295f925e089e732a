"""Through which instance the adviser is asked."""

from firhook.decide._seats import AdviserSeat, SeatPlan, choose_seat

__all__ = ["AdviserSeat", "SeatPlan", "choose_seat"]
