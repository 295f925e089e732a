"""Names that the platform passes to a process."""

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "FIRHOOK_SETTINGS"
